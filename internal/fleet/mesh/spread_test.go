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
	// maxPropagation is how long a change may take to reach all instances.
	maxPropagation = 2 * time.Second
	// pollTimeout is how long the store holds a call when there are no changes.
	pollTimeout = 700 * time.Millisecond
	// heartbeatRows is how many rows are rewritten in turn without a change.
	heartbeatRows = 10
	// unaskedUpdateDelay is the delay after which a change is sent unasked.
	unaskedUpdateDelay = time.Second
	// smallFleetSeeds is how many fleets of each size are simulated, each with other
	// names.
	smallFleetSeeds = 13
	// changedKey is the row that changes.
	changedKey = "config"
)

// seedCount returns how many fleets of a size are simulated.
func seedCount(instances int) uint64 {
	if instances > 40 {
		return seedsLarge
	}
	return smallFleetSeeds
}

// fakeStore is a store that every member of a fleet may read.
type fakeStore struct {
	// log holds all changes; their versions are those within an era.
	log []feed.Row
	era uint64
	// reads counts the calls that members make, and the bytes of rows that they get.
	reads, bytesRead int
}

// restore puts the store back to a copy that lacks its last changes.
func (s *fakeStore) restore(lost int) {
	s.log = s.log[:len(s.log)-lost]
	s.era++
}

// heartbeat rewrites a row with the same content, as upstreams do.
func (s *fakeStore) heartbeat() {
	s.put(fmt.Sprintf("row-%d", len(s.log)%heartbeatRows), "same")
}

func (s *fakeStore) put(key, value string) spec.Revision {
	version := uint64(len(s.log) + 1)
	s.log = append(s.log, feed.Row{Key: key, Version: spec.Revision(version), Value: []byte(value)})
	return spec.NewRevision(s.era, version)
}

// hasHistory reports whether the changes after a version can be read.
func (s *fakeStore) hasHistory(version spec.Revision) bool {
	return version.Era() == s.era && version.Version() <= uint64(len(s.log))
}

// since returns the changes after a version of the current era.
func (s *fakeStore) since(version uint64) feed.Page {
	newest := map[string]feed.Row{}
	for _, row := range s.log[version:] {
		row.Version = spec.NewRevision(s.era, row.Version.Version())
		newest[row.Key] = row
	}
	p := feed.Page{Version: spec.NewRevision(s.era, uint64(len(s.log)))}
	for _, row := range newest {
		p.Rows = append(p.Rows, row)
	}
	return p
}

// countRead counts a call of a member and its rows.
func (s *fakeStore) countRead(m *member, p feed.Page) {
	if m.fleet.network != nil {
		m.fleet.network.read(m.fleet.now, m.logic.ID, p)
	}
	s.reads++
	for _, row := range p.Rows {
		s.bytesRead += len(row.Value)
	}
}

// hasChange reports whether a member knows the changed row at a version or later.
func (m *member) hasChange(version spec.Revision) bool {
	for _, row := range m.view.Rows() {
		if row.Key == changedKey {
			return row.Version >= version
		}
	}
	return false
}

// pollStore reads the store as a follower does: at once if there are changes, after the
// poll timeout if there are none, not at all while others read.
func (m *member) pollStore(now time.Duration, store *fakeStore) {
	if m.logic.SkipsStoreReads() && m.lastPoll > 0 {
		return
	}
	if !store.hasHistory(m.view.Version()) {
		m.lastPoll, m.lastSync = now, now
		p := store.since(0)
		store.countRead(m, p)
		for _, row := range m.view.ApplySnapshot(p) {
			m.changedVersions = map[string]spec.Revision{table: max(m.changedVersions[table], row.Version)}
		}
		return
	}
	p := store.since(m.view.Version().Version())
	if len(p.Rows) == 0 && now-m.lastPoll < pollTimeout {
		return
	}
	m.lastPoll, m.lastSync = now, now
	store.countRead(m, p)
	started := m.view.Version() == 0
	for _, row := range m.view.ApplyChanges(m.view.Version(), p) {
		if !started {
			m.changedVersions = map[string]spec.Revision{table: max(m.changedVersions[table], row.Version)}
		}
	}
}

// runWithStore runs a fleet that follows a store until a time or until done returns
// true.
func (f *fleet) runWithStore(store *fakeStore, from, to time.Duration, done func() bool) time.Duration {
	for now := from; now < to; now += tickInterval {
		f.now = now
		store.heartbeat()
		for id, m := range f.members {
			isBusy := f.network != nil && f.network.isBusy(now, id)
			if !f.frozen[id] && !isBusy && f.storeAnswers(id) {
				m.pollStore(now, store)
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

// membersBehind returns the live members that do not know a version.
func (f *fleet) membersBehind(version spec.Revision) []spec.InstanceID {
	var out []spec.InstanceID
	for id, m := range f.members {
		if !f.frozen[id] && !m.hasChange(version) {
			out = append(out, id)
		}
	}
	return out
}

// reader returns the member that reads the store for all.
func (f *fleet) reader() spec.InstanceID {
	for _, id := range f.ids() {
		if f.members[id].logic.DutyRank("read") == 0 {
			return id
		}
	}
	return ""
}

// nonReader returns a member that leaves reading to others.
func (f *fleet) nonReader() spec.InstanceID {
	for _, id := range f.ids() {
		if f.members[id].logic.SkipsStoreReads() {
			return id
		}
	}
	return ""
}

// freeze freezes n random members, but not the only reader.
func (f *fleet) freeze(n int, random *rand.Rand) {
	ids := slices.DeleteFunc(f.ids(), func(id spec.InstanceID) bool { return id == f.onlyReader })
	for _, k := range random.Perm(len(ids))[:n] {
		f.frozen[ids[k]] = true
	}
}

// Callers got 404 from nearly all instances for a route that had been added three
// seconds before. One instance reads the store for all, and the others learn of a
// change by relays; some instances are frozen. Whichever instance reads and whichever
// are frozen, each live instance must know a change within two seconds.
func TestChangeReachesAllDespiteFrozenInstances(t *testing.T) {
	for _, test := range []struct{ instances, frozen int }{{4, 0}, {4, 1}, {4, 2}, {26, 2}, {33, 0}, {33, 2}, {33, 6}, {118, 0}, {118, 6}, {118, 24}} {
		t.Run(fmt.Sprintf("%d instances, %d frozen", test.instances, test.frozen), func(t *testing.T) {
			t.Parallel()
			for seed := range seedCount(test.instances) {
				random := rand.New(rand.NewPCG(seed, 1))
				f := newNamedFleet(test.instances, fmt.Sprintf("s%d-", seed))
				store := &fakeStore{}
				store.put(changedKey, "old")
				f.runWithStore(store, tickInterval, 2*time.Second, nil)
				f.freeze(test.frozen, random)
				at := 2*time.Second + time.Duration(random.Int64N(int64(2*time.Second)))/tickInterval*tickInterval
				f.runWithStore(store, 2*time.Second, at, nil)
				version := store.put(changedKey, "new")
				f.runWithStore(store, at, at+maxPropagation, func() bool { return len(f.membersBehind(version)) == 0 })
				if behind := f.membersBehind(version); len(behind) > 0 {
					t.Errorf("seed %d: got %d of %d without the change after %s, want none: %v", seed, len(behind), test.instances, maxPropagation, behind)
				}
			}
		})
	}
}

// The store rejects all instances but the one that reads for them, and some are frozen.
// The others can learn of a change only from each other, and must within two seconds.
// An instance that knows it has to see that all others do.
func TestChangeReachesAllFromOneReader(t *testing.T) {
	for _, test := range []struct{ instances, frozen int }{{4, 1}, {26, 2}, {33, 0}, {33, 2}, {33, 6}, {118, 0}, {118, 6}, {118, 24}} {
		t.Run(fmt.Sprintf("%d instances, %d frozen", test.instances, test.frozen), func(t *testing.T) {
			t.Parallel()
			for seed := range seedCount(test.instances) {
				f := newNamedFleet(test.instances, fmt.Sprintf("o%d-", seed))
				store := &fakeStore{}
				store.put(changedKey, "old")
				f.runWithStore(store, tickInterval, 2*time.Second, nil)
				f.onlyReader = f.reader()
				f.freeze(test.frozen, rand.New(rand.NewPCG(seed, 2)))
				version := store.put(changedKey, "new")
				took := f.runWithStore(store, 2*time.Second, 2*time.Second+maxPropagation, func() bool { return len(f.membersBehind(version)) == 0 })
				if behind := f.membersBehind(version); len(behind) > 0 {
					t.Errorf("seed %d: got %d of %d without the change after %s, want none", seed, len(behind), test.instances, maxPropagation)
				}
				t.Logf("seed %d: known to all after %s", seed, took-2*time.Second)
			}
		})
	}
}

// The message that carries a change to one instance is lost, while other rows change
// every 300 ms and the store rejects that instance. Each later change is sent to it.
// The lost one must come with them, though it is never missing for long enough on its
// own to be sent again.
func TestLostChangeIsResentWithLaterChanges(t *testing.T) {
	f := newFleet(2)
	store := &fakeStore{}
	store.put(changedKey, "old")
	f.runWithStore(store, tickInterval, 3*time.Second, nil)
	f.onlyReader = f.reader()
	behind, lost := f.nonReader(), 0
	f.dropMessage = func(_, to spec.InstanceID, m mesh.Message) bool {
		if to != behind || len(m.Tables) == 0 || lost > 0 {
			return false
		}
		lost++
		return true
	}
	version := store.put(changedKey, "new")
	for from := 3 * time.Second; from < 3*time.Second+maxPropagation; from += 300 * time.Millisecond {
		f.runWithStore(store, from, from+300*time.Millisecond, nil)
		store.put("other", from.String())
	}
	if !f.members[behind].hasChange(version) || lost != 1 {
		t.Errorf("got no change at %s after %s with %d messages lost, want it after one", behind, maxPropagation, lost)
	}
}

// A row changes and, 100 ms later, changes back, while the store rejects all instances
// but one. Those that received the first change must receive the second. That others
// seem to have the former row already proves nothing, since their reports are from
// before both changes.
func TestRevertedChangeReachesAll(t *testing.T) {
	f := newFleet(9)
	store := &fakeStore{}
	store.put(changedKey, "old")
	f.runWithStore(store, tickInterval, 3*time.Second, nil)
	f.onlyReader = f.reader()
	store.put(changedKey, "new")
	f.runWithStore(store, 3*time.Second, 3*time.Second+2*tickInterval, nil)
	version := store.put(changedKey, "old")
	took := f.runWithStore(store, 3*time.Second+2*tickInterval, 3*time.Second+unaskedUpdateDelay, func() bool { return f.allHold(version, "old") })
	if !f.allHold(version, "old") {
		t.Errorf("got other rows %s after the second change, want the last one everywhere", took-3*time.Second)
	}
}

// allHold reports whether all members know the table up to a version, with the given
// value in the changed row.
func (f *fleet) allHold(version spec.Revision, value string) bool {
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

// An instance of the former program version does not send digests of its tables, and
// relies on being updated as soon as others read. It must read the store itself, and
// the same tables must not be sent to it repeatedly. An instance of this version must
// not leave reading to it.
func TestFormerVersionIsNotReliedOn(t *testing.T) {
	f := newFleet(2)
	m := f.members["i0"]
	if f.reader() == "i0" {
		m = f.members["i1"]
	}
	old, err := cbor.Marshal(mesh.Message{URL: "http://old", Versions: map[string]spec.Revision{table: 3}, SyncAgeMs: 100})
	if err != nil {
		t.Fatal(err)
	}
	m.view.ApplySnapshot(feed.Page{Rows: []feed.Row{{Key: changedKey, Version: 7}}, Version: 7})
	m.lastSync = time.Second
	received := 0
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
			received++
		}
		if m.logic.SkipsStoreReads() {
			t.Fatal("got an instance that leaves reading to the former version, want it to read")
		}
	}
	if received == 0 {
		t.Error("got no message to the former version, want some")
	}
}

// Messages with rows to one instance are lost; the small ones between them arrive. It
// learns that another instance reads, and that this one knows a newer row than it does
// itself. It must read the store itself in time.
func TestLaggingInstanceReadsTheStore(t *testing.T) {
	f := newFleet(5)
	store := &fakeStore{}
	store.put(changedKey, "old")
	f.runWithStore(store, tickInterval, 3*time.Second, nil)
	behind := f.nonReader()
	f.dropMessage = func(_, to spec.InstanceID, m mesh.Message) bool { return to == behind && len(m.Tables) > 0 }
	version := store.put(changedKey, "new")
	f.runWithStore(store, 3*time.Second, 3*time.Second+maxPropagation, nil)
	if !f.members[behind].hasChange(version) {
		t.Errorf("got no change at %s after %s, want it read from the store", behind, maxPropagation)
	}
}
