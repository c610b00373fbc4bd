// Package member keeps what one instance holds true of all others: alive,
// suspect, dead or left, under incarnation numbers, after SWIM (Das, Gupta
// and Motivala, DSN 2002) with the suspicion times of Lifeguard (Dadgar,
// Phillips and Currey, DSN-W 2018). The instances that watch each other are
// neighbours on several hash rings, as in Rapid (Suresh et al., ATC 2018).
//
// It imports base/spec, fleet/rank and fleet/talk. Package node feeds it.
package member

import (
	"slices"
	"strings"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/fleet/talk"
)

// Times and bounds of the table.
const (
	// SuspectMin is how long a suspect has to refute once others agree, and
	// SuspectMax while nobody does.
	SuspectMin = 1500 * time.Millisecond
	SuspectMax = 6 * time.Second
	// Confirms is how many further suspecting instances shorten the time to
	// SuspectMin.
	Confirms = 3
	// Keep is how long the dead are remembered, so that an old record does
	// not bring them back.
	Keep = time.Hour
	// MaxRows bounds the table; further unknown instances are ignored.
	MaxRows = 4096
)

// Change tells that what is held true of an instance changed.
type Change struct {
	ID spec.InstanceID
	// Was and Is are the states; Was is StateLeft for one that is new.
	Was, Is talk.State
	// Reborn says that the instance restarted.
	Reborn bool
}

// Table holds one row per instance known, the own one among them. Set Self,
// then call Init.
type Table struct {
	// Self is the own record. Only the table writes it after Init.
	Self talk.Record

	now     time.Duration
	rows    []*row
	index   map[spec.InstanceID]*row
	sums    [Buckets]uint32
	changes []Change
	spread  []talk.Record
	version uint64
	// waits are the rows under suspicion, to find timeouts without a scan.
	waits  []*row
	pruned time.Duration
}

type row struct {
	rec   talk.Record
	by    []spec.InstanceID
	since time.Duration
	// until is when a suspect counts as dead.
	until time.Duration
}

// Init makes the table hold Self alone.
func (t *Table) Init() {
	t.index = map[spec.InstanceID]*row{}
	t.insert(t.Self)
	t.spread = append(t.spread, t.Self)
}

// Version changes whenever the set of live instances does.
func (t *Table) Version() uint64 { return t.version }

// Get returns what is held true of id.
func (t *Table) Get(id spec.InstanceID) (talk.Record, bool) {
	r := t.index[id]
	if r == nil {
		return talk.Record{}, false
	}
	return r.rec, true
}

// Live reports whether id is alive or under suspicion only.
func (t *Table) Live(id spec.InstanceID) bool {
	r := t.index[id]
	return r != nil && live(&r.rec)
}

// Each calls f for every record in order of ID.
func (t *Table) Each(f func(talk.Record)) {
	for _, r := range t.rows {
		f(r.rec)
	}
}

// Len is how many rows there are.
func (t *Table) Len() int { return len(t.rows) }

// Changes returns what changed since the last call.
func (t *Table) Changes() []Change {
	out := t.changes
	t.changes = nil
	return out
}

// Spread returns the records that others should hear of since the last call.
func (t *Table) Spread() []talk.Record {
	out := t.spread
	t.spread = nil
	return out
}

// Learn takes a record heard from another instance. It reports whether it
// told anything new.
func (t *Table) Learn(now time.Duration, rec talk.Record) bool {
	t.now = now
	if rec.ID == t.Self.ID {
		return t.refute(rec)
	}
	r := t.index[rec.ID]
	switch {
	case r == nil:
		return t.add(rec)
	case newer(&rec, &r.rec):
		t.replace(r, rec)
		return true
	case sameSuspicion(&rec, &r.rec):
		return t.confirm(r, rec)
	}
	return false
}

// refute answers a record of the own instance that is not its own: a
// suspicion, a death, or one of a former self.
func (t *Table) refute(rec talk.Record) bool {
	if !newer(&rec, &t.Self) {
		return false
	}
	if rec.Born > t.Self.Born {
		// The clock went back over a restart. Without the later birth the
		// others would hold every word of this instance for old.
		t.Self.Born = rec.Born + 1
		t.Self.Inc = 0
	} else {
		t.Self.Inc = rec.Inc + 1
	}
	t.put(t.index[t.Self.ID], t.Self)
	t.spread = append(t.spread, t.Self)
	return true
}

// Passive says whether the own instance takes duties and watches; others hear
// it at once.
func (t *Table) Passive(passive bool) {
	if t.Self.Passive == passive {
		return
	}
	t.Self.Passive = passive
	t.Self.Inc++
	t.put(t.index[t.Self.ID], t.Self)
	t.spread = append(t.spread, t.Self)
	t.version++
}

// Leave ends the own membership; the own record says so from now on.
func (t *Table) Leave() {
	t.Self.State = talk.StateLeft
	t.put(t.index[t.Self.ID], t.Self)
	t.spread = append(t.spread, t.Self)
	t.version++
}

func (t *Table) add(rec talk.Record) bool {
	// A dead one that was never known takes nothing away from here.
	if len(t.rows) >= MaxRows || !live(&rec) {
		return false
	}
	r := t.insert(rec)
	t.changes = append(t.changes, Change{ID: rec.ID, Was: talk.StateLeft, Is: rec.State})
	t.spread = append(t.spread, rec)
	t.suspected(r)
	return true
}

func (t *Table) insert(rec talk.Record) *row {
	r := &row{rec: rec, since: t.now}
	at, _ := slices.BinarySearchFunc(t.rows, rec.ID, func(r *row, id spec.InstanceID) int {
		return strings.Compare(string(r.rec.ID), string(id))
	})
	t.rows = slices.Insert(t.rows, at, r)
	t.index[rec.ID] = r
	t.sums[bucket(rec.ID)] ^= sum(&rec)
	t.version++
	return r
}

func (t *Table) replace(r *row, rec talk.Record) {
	t.changes = append(t.changes, Change{
		ID: rec.ID, Was: r.rec.State, Is: rec.State, Reborn: rec.Born != r.rec.Born,
	})
	if live(&rec) != live(&r.rec) || rec.Passive != r.rec.Passive || rec.URL != r.rec.URL || rec.Born != r.rec.Born {
		t.version++
	}
	t.put(r, rec)
	t.spread = append(t.spread, rec)
	t.suspected(r)
}

func (t *Table) put(r *row, rec talk.Record) {
	b := bucket(rec.ID)
	t.sums[b] ^= sum(&r.rec) ^ sum(&rec)
	r.rec = rec
	r.since = t.now
}

func live(r *talk.Record) bool { return r.State <= talk.StateSuspect }

// newer reports whether a counts over b.
func newer(a, b *talk.Record) bool {
	if a.Born != b.Born {
		return a.Born > b.Born
	}
	if a.Inc != b.Inc {
		return a.Inc > b.Inc
	}
	return a.State > b.State
}

func sameSuspicion(a, b *talk.Record) bool {
	return a.State == talk.StateSuspect && b.State == talk.StateSuspect && a.Born == b.Born && a.Inc == b.Inc
}
