// Package member is the membership table of an instance: for each other
// instance whether it is alive, suspect, dead or left, with incarnation
// numbers. It follows SWIM (Das, Gupta and Motivala, DSN 2002) with the
// suspicion timeouts of Lifeguard (Dadgar, Phillips and Currey, DSN-W 2018).
// The instances that watch each other are neighbours on several hash rings, as
// in Rapid (Suresh et al., ATC 2018).
//
// It imports base/spec, fleet/rank and fleet/proto. Package node drives it.
package member

import (
	"slices"
	"strings"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/fleet/proto"
)

// Timeouts and limits of the table.
const (
	// MinSuspicionTimeout is how long a suspect has to refute once enough
	// other instances confirm the suspicion.
	MinSuspicionTimeout = 1500 * time.Millisecond
	// MaxSuspicionTimeout is how long it has while no other instance does.
	MaxSuspicionTimeout = 6 * time.Second
	// MaxConfirmations is how many further suspecting instances shorten
	// the timeout to MinSuspicionTimeout.
	MaxConfirmations = 3
	// DeadTTL is how long dead members are kept, so that an old record
	// does not bring them back.
	DeadTTL = time.Hour
	// MaxMembers bounds the table. Further unknown instances are ignored.
	MaxMembers = 4096
)

// Change is a change of the state of a member.
type Change struct {
	ID spec.InstanceID
	// OldState and NewState are the states before and after. OldState is
	// StateLeft for a new member.
	OldState, NewState proto.State
	// Restarted reports whether the instance restarted.
	Restarted bool
}

// Table holds one row per known instance, including this one. Set Local, then
// call Init.
type Table struct {
	// Local is the record of this instance. After Init only the table
	// writes it.
	Local proto.Record

	now       time.Duration
	rows      []*row
	index     map[spec.InstanceID]*row
	checksums [ChecksumBuckets]uint32
	changes   []Change
	updates   []proto.Record
	version   uint64
	// suspects are the rows under suspicion, kept to find timeouts without
	// a scan.
	suspects []*row
	prunedAt time.Duration
}

type row struct {
	record      proto.Record
	suspectedBy []spec.InstanceID
	changedAt   time.Duration
	// deadAt is when a suspect is declared dead.
	deadAt time.Duration
}

// Init empties the table except for Local.
func (t *Table) Init() {
	t.index = map[spec.InstanceID]*row{}
	t.insert(t.Local)
	t.updates = append(t.updates, t.Local)
}

// Version changes whenever the set of live instances changes, or the URL,
// start time or Passive of one of them.
func (t *Table) Version() uint64 { return t.version }

// Get returns the record of id.
func (t *Table) Get(id spec.InstanceID) (proto.Record, bool) {
	r := t.index[id]
	if r == nil {
		return proto.Record{}, false
	}
	return r.record, true
}

// IsLive reports whether id is alive or only suspect.
func (t *Table) IsLive(id spec.InstanceID) bool {
	r := t.index[id]
	return r != nil && isLive(&r.record)
}

// Each calls f for every record in order of ID.
func (t *Table) Each(f func(proto.Record)) {
	for _, r := range t.rows {
		f(r.record)
	}
}

// Len returns the number of rows.
func (t *Table) Len() int { return len(t.rows) }

// TakeChanges returns the changes since the last call.
func (t *Table) TakeChanges() []Change {
	out := t.changes
	t.changes = nil
	return out
}

// TakeUpdates returns the records to send to other instances since the last
// call.
func (t *Table) TakeUpdates() []proto.Record {
	out := t.updates
	t.updates = nil
	return out
}

// ApplyRecord merges a record received from another instance. It reports
// whether the record changed anything.
func (t *Table) ApplyRecord(now time.Duration, rec proto.Record) bool {
	t.now = now
	if rec.ID == t.Local.ID {
		return t.refute(rec)
	}
	r := t.index[rec.ID]
	switch {
	case r == nil:
		return t.add(rec)
	case supersedes(&rec, &r.record):
		t.replace(r, rec)
		return true
	case sameSuspicion(&rec, &r.record):
		return t.confirmSuspicion(r, rec)
	}
	return false
}

// refute answers a record of this instance that differs from Local: a
// suspicion, a death, or a record of a former process.
func (t *Table) refute(rec proto.Record) bool {
	if !supersedes(&rec, &t.Local) {
		return false
	}
	if rec.StartTime > t.Local.StartTime {
		// The clock went back over a restart. Without the later start
		// time the peers would treat all items of this instance as
		// outdated.
		t.Local.StartTime = rec.StartTime + 1
		t.Local.Incarnation = 0
	} else {
		t.Local.Incarnation = rec.Incarnation + 1
	}
	t.setRecord(t.index[t.Local.ID], t.Local)
	t.updates = append(t.updates, t.Local)
	return true
}

// SetPassive sets whether this instance accepts no duties and watches. The
// change is announced to the other instances at once.
func (t *Table) SetPassive(passive bool) {
	if t.Local.Passive == passive {
		return
	}
	t.Local.Passive = passive
	t.Local.Incarnation++
	t.setRecord(t.index[t.Local.ID], t.Local)
	t.updates = append(t.updates, t.Local)
	t.version++
}

// Leave ends the membership of this instance and sets its record to left.
func (t *Table) Leave() {
	t.Local.State = proto.StateLeft
	t.setRecord(t.index[t.Local.ID], t.Local)
	t.updates = append(t.updates, t.Local)
	t.version++
}

func (t *Table) add(rec proto.Record) bool {
	// A dead member that was never known is of no interest here.
	if len(t.rows) >= MaxMembers || !isLive(&rec) {
		return false
	}
	r := t.insert(rec)
	t.changes = append(t.changes, Change{ID: rec.ID, OldState: proto.StateLeft, NewState: rec.State})
	t.updates = append(t.updates, rec)
	t.updateSuspicion(r)
	return true
}

func (t *Table) insert(rec proto.Record) *row {
	r := &row{record: rec, changedAt: t.now}
	at, _ := slices.BinarySearchFunc(t.rows, rec.ID, func(r *row, id spec.InstanceID) int {
		return strings.Compare(string(r.record.ID), string(id))
	})
	t.rows = slices.Insert(t.rows, at, r)
	t.index[rec.ID] = r
	t.checksums[bucketOf(rec.ID)] ^= recordChecksum(&rec)
	t.version++
	return r
}

func (t *Table) replace(r *row, rec proto.Record) {
	t.changes = append(t.changes, Change{
		ID: rec.ID, OldState: r.record.State, NewState: rec.State, Restarted: rec.StartTime != r.record.StartTime,
	})
	if isLive(&rec) != isLive(&r.record) || rec.Passive != r.record.Passive || rec.URL != r.record.URL || rec.StartTime != r.record.StartTime {
		t.version++
	}
	t.setRecord(r, rec)
	t.updates = append(t.updates, rec)
	t.updateSuspicion(r)
}

func (t *Table) setRecord(r *row, rec proto.Record) {
	b := bucketOf(rec.ID)
	t.checksums[b] ^= recordChecksum(&r.record) ^ recordChecksum(&rec)
	r.record = rec
	r.changedAt = t.now
}

func isLive(r *proto.Record) bool { return r.State <= proto.StateSuspect }

// supersedes reports whether record a replaces record b.
func supersedes(a, b *proto.Record) bool {
	if a.StartTime != b.StartTime {
		return a.StartTime > b.StartTime
	}
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.State > b.State
}

// sameSuspicion reports whether both records suspect the same incarnation.
func sameSuspicion(a, b *proto.Record) bool {
	return a.State == proto.StateSuspect && b.State == proto.StateSuspect && a.StartTime == b.StartTime && a.Incarnation == b.Incarnation
}
