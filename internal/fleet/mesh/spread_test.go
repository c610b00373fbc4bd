package mesh_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/fleet/mesh"
	"fulmarwick/internal/fleet/node"
	"fulmarwick/internal/state/feed"

	"github.com/fxamacker/cbor/v2"
)

const (
	// maxPropagation is how long a change may take to all instances.
	maxPropagation = 2 * time.Second
	// pollTimeout is how long the store holds a call without news.
	pollTimeout = 700 * time.Millisecond
	// heartbeatRows is how many rows are written anew in turn without a change.
	heartbeatRows = 10
	// unaskedUpdateDelay is after how long those that know a change tell it unasked.
	unaskedUpdateDelay = time.Second
	// smallFleetSeeds is how many fleets of each size are played, each with other names.
	smallFleetSeeds = 13
	// changedKey is the row that changes.
	changedKey = "config"
)

// seedCount is how many fleets of a size are played.
func seedCount(instances int) uint64 {
	if instances > 40 {
		return seedsLarge
	}
	return smallFleetSeeds
}

// fakeStore is a store that every member of a fleet may read.
type fakeStore struct {
	log []feed.Row
}

// heartbeat writes a row anew with the same content, as upstreams do.
func (r *fakeStore) heartbeat() {
	r.put(fmt.Sprintf("row-%d", len(r.log)%heartbeatRows), "same")
}

func (r *fakeStore) put(key, value string) uint64 {
	version := uint64(len(r.log) + 1)
	r.log = append(r.log, feed.Row{Key: key, Version: version, Value: []byte(value)})
	return version
}

func (r *fakeStore) since(version uint64) feed.Page {
	newest := map[string]feed.Row{}
	for _, row := range r.log[version:] {
		newest[row.Key] = row
	}
	p := feed.Page{Version: uint64(len(r.log))}
	for _, row := range newest {
		p.Rows = append(p.Rows, row)
	}
	return p
}

// hasChange reports whether a member knows the changed row as of a version.
func (m *member) hasChange(version uint64) bool {
	for _, r := range m.view.Rows() {
		if r.Key == changedKey {
			return r.Version >= version
		}
	}
	return false
}

// pollStore reads the store as a follower does: at once if there is news, after
// the poll if there is none, not at all while others read.
func (m *member) pollStore(now time.Duration, r *fakeStore) {
	if m.logic.SkipsStoreReads() && m.lastPoll > 0 {
		return
	}
	p := r.since(m.view.Version())
	if len(p.Rows) == 0 && now-m.lastPoll < pollTimeout {
		return
	}
	m.lastPoll, m.lastSync = now, now
	started := m.view.Version() == 0
	for _, row := range m.view.ApplyChanges(m.view.Version(), p) {
		if !started {
			m.changedVersions = map[string]uint64{table: max(m.changedVersions[table], row.Version)}
		}
	}
}

// runWithStore runs a fleet that follows a store until a time or until done.
func (f *fleet) runWithStore(r *fakeStore, from, to time.Duration, done func() bool) time.Duration {
	for now := from; now < to; now += tickInterval {
		f.now = now
		r.heartbeat()
		for id, m := range f.members {
			if !f.frozen[id] && f.storeAnswers(id) {
				m.pollStore(now, r)
			}
		}
		f.tickAll(now)
		if done != nil && done() {
			return now + tickInterval
		}
	}
	return to
}

// storeAnswers reports whether the store answers a member.
func (f *fleet) storeAnswers(id spec.InstanceID) bool {
	return (f.onlyReader == "" || f.onlyReader == id) && (f.storeRefuses == nil || !f.storeRefuses(id))
}

// membersBehind lists the live members that do not know a version.
func (f *fleet) membersBehind(version uint64) []spec.InstanceID {
	var out []spec.InstanceID
	for id, m := range f.members {
		if !f.frozen[id] && !m.hasChange(version) {
			out = append(out, id)
		}
	}
	return out
}

// reader is the member that reads the store for all.
func (f *fleet) reader() spec.InstanceID {
	for _, id := range f.ids() {
		if f.members[id].logic.DutyRank("read") == 0 {
			return id
		}
	}
	return ""
}

// nonReader is a member that leaves reading to others.
func (f *fleet) nonReader() spec.InstanceID {
	for _, id := range f.ids() {
		if f.members[id].logic.SkipsStoreReads() {
			return id
		}
	}
	return ""
}

// freeze silences some members as if they were frozen, but not the only reader.
func (f *fleet) freeze(n int, draw *rand.Rand) {
	ids := slices.DeleteFunc(f.ids(), func(id spec.InstanceID) bool { return id == f.onlyReader })
	for _, k := range draw.Perm(len(ids))[:n] {
		f.frozen[ids[k]] = true
	}
}

// Callers got 404 for a route that had been added three seconds before, from
// nearly all instances. One instance reads the store for all, and the others
// hear of a change by relays; some instances are frozen. Whoever reads and
// whoever is frozen, each live instance must know a change within two seconds.
func TestChangeReachesAllDespiteFrozenInstances(t *testing.T) {
	for _, test := range []struct{ instances, silent int }{{4, 0}, {4, 1}, {4, 2}, {26, 2}, {33, 0}, {33, 2}, {33, 6}, {118, 0}, {118, 6}, {118, 24}} {
		t.Run(fmt.Sprintf("%d instances, %d silent", test.instances, test.silent), func(t *testing.T) {
			t.Parallel()
			for seed := range seedCount(test.instances) {
				draw := rand.New(rand.NewPCG(seed, 1))
				f := newNamedFleet(test.instances, fmt.Sprintf("s%d-", seed))
				r := &fakeStore{}
				r.put(changedKey, "old")
				f.runWithStore(r, tickInterval, 2*time.Second, nil)
				f.freeze(test.silent, draw)
				at := 2*time.Second + time.Duration(draw.Int64N(int64(2*time.Second)))/tickInterval*tickInterval
				f.runWithStore(r, 2*time.Second, at, nil)
				version := r.put(changedKey, "new")
				f.runWithStore(r, at, at+maxPropagation, func() bool { return len(f.membersBehind(version)) == 0 })
				if late := f.membersBehind(version); len(late) > 0 {
					t.Errorf("seed %d: got %d of %d without the change after %s, want none: %v", seed, len(late), test.instances, maxPropagation, late)
				}
			}
		})
	}
}

// The store turns away all instances but the one that reads for them, and some
// are frozen. The others can learn of a change by each other alone, and must
// within two seconds: whoever knows it has to see to it that all do.
func TestChangeReachesAllFromOneReader(t *testing.T) {
	for _, test := range []struct{ instances, silent int }{{4, 1}, {26, 2}, {33, 0}, {33, 2}, {33, 6}, {118, 0}, {118, 6}, {118, 24}} {
		t.Run(fmt.Sprintf("%d instances, %d silent", test.instances, test.silent), func(t *testing.T) {
			t.Parallel()
			for seed := range seedCount(test.instances) {
				f := newNamedFleet(test.instances, fmt.Sprintf("o%d-", seed))
				r := &fakeStore{}
				r.put(changedKey, "old")
				f.runWithStore(r, tickInterval, 2*time.Second, nil)
				f.onlyReader = f.reader()
				f.freeze(test.silent, rand.New(rand.NewPCG(seed, 2)))
				version := r.put(changedKey, "new")
				took := f.runWithStore(r, 2*time.Second, 2*time.Second+maxPropagation, func() bool { return len(f.membersBehind(version)) == 0 })
				if late := f.membersBehind(version); len(late) > 0 {
					t.Errorf("seed %d: got %d of %d without the change after %s, want none", seed, len(late), test.instances, maxPropagation)
				}
				t.Logf("seed %d: known to all after %s", seed, took-2*time.Second)
			}
		})
	}
}

// The message that tells one instance of a change is lost, while other rows go on
// changing every 300 ms and the store turns that instance away. Each later change
// is told to it; the lost one must come with them, though it is never missing for
// long enough on its own to be told again.
func TestLostChangeIsResentWithLaterChanges(t *testing.T) {
	f := newFleet(2)
	r := &fakeStore{}
	r.put(changedKey, "old")
	f.runWithStore(r, tickInterval, 3*time.Second, nil)
	f.onlyReader = f.reader()
	behind, lost := f.nonReader(), 0
	f.dropMessage = func(_, to spec.InstanceID, m mesh.Message) bool {
		if to != behind || len(m.Tables) == 0 || lost > 0 {
			return false
		}
		lost++
		return true
	}
	version := r.put(changedKey, "new")
	for from := 3 * time.Second; from < 3*time.Second+maxPropagation; from += 300 * time.Millisecond {
		f.runWithStore(r, from, from+300*time.Millisecond, nil)
		r.put("other", from.String())
	}
	if !f.members[behind].hasChange(version) || lost != 1 {
		t.Errorf("got no change at %s after %s with %d messages lost, want it after one", behind, maxPropagation, lost)
	}
}

// A row changes and, 100 ms later, changes back, while the store turns all but one
// away. Those that were told of the first change must learn of the second: that
// others seem to hold the former row already says nothing, for what they show is
// from before both.
func TestRevertedChangeReachesAll(t *testing.T) {
	f := newFleet(9)
	r := &fakeStore{}
	r.put(changedKey, "old")
	f.runWithStore(r, tickInterval, 3*time.Second, nil)
	f.onlyReader = f.reader()
	r.put(changedKey, "new")
	f.runWithStore(r, 3*time.Second, 3*time.Second+2*tickInterval, nil)
	version := r.put(changedKey, "old")
	took := f.runWithStore(r, 3*time.Second+2*tickInterval, 3*time.Second+unaskedUpdateDelay, func() bool { return f.allHold(version, "old") })
	if !f.allHold(version, "old") {
		t.Errorf("got other rows %s after the second change, want the last one everywhere", took-3*time.Second)
	}
}

// allHold reports whether all members know the last row up to a version.
func (f *fleet) allHold(version uint64, value string) bool {
	for _, m := range f.members {
		if m.view.Version() < version {
			return false
		}
		for _, row := range m.view.Rows() {
			if row.Key == changedKey && string(row.Value) != value {
				return false
			}
		}
	}
	return true
}

// An instance of the former program version does not show what it holds, and
// counts on being told as soon as others read. It must read the store itself, and
// it is not told the same tables again and again; nor does one of this version
// leave reading to it.
func TestFormerVersionIsNotReliedOn(t *testing.T) {
	f := newFleet(2)
	m := f.members["i0"]
	if f.reader() == "i0" {
		m = f.members["i1"]
	}
	old, err := cbor.Marshal(mesh.Message{URL: "http://old", Versions: map[string]uint64{table: 3}, SyncAgeMs: 100})
	if err != nil {
		t.Fatal(err)
	}
	m.view.ApplySnapshot(feed.Page{Rows: []feed.Row{{Key: changedKey, Version: 7}}, Version: 7})
	m.lastSync = time.Second
	told := 0
	for now := time.Second; now < 4*time.Second; now += tickInterval {
		f.now = now
		for _, c := range m.logic.Tick(now, []node.Event{node.Received{From: "old", Data: old}}) {
			s, ok := c.(node.Send)
			if !ok || s.To != "old" {
				continue
			}
			var got mesh.Message
			if err := cbor.Unmarshal(s.Data, &got); err != nil || got.SyncAgeMs >= 0 || len(got.Tables) > 0 {
				t.Fatalf("got age %d and %d tables for the former version (%v), want none", got.SyncAgeMs, len(got.Tables), err)
			}
			told++
		}
		if m.logic.SkipsStoreReads() {
			t.Fatal("got an instance that leaves reading to the former version, want it to read")
		}
	}
	if told == 0 {
		t.Error("got no message to the former version, want some")
	}
}

// Messages with rows to one instance are lost, the small ones between them
// arrive. It hears that another instance reads, and that this one knows of a
// newer row than it does itself: it must read the store for itself in time.
func TestLaggingInstanceReadsTheStore(t *testing.T) {
	f := newFleet(5)
	r := &fakeStore{}
	r.put(changedKey, "old")
	f.runWithStore(r, tickInterval, 3*time.Second, nil)
	behind := f.nonReader()
	f.dropMessage = func(_, to spec.InstanceID, m mesh.Message) bool { return to == behind && len(m.Tables) > 0 }
	version := r.put(changedKey, "new")
	f.runWithStore(r, 3*time.Second, 3*time.Second+maxPropagation, nil)
	if !f.members[behind].hasChange(version) {
		t.Errorf("got no change at %s after %s, want it read from the store", behind, maxPropagation)
	}
}
