package mesh_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/state/feed"
)

const (
	// rowsOfUpstreams is how many rows the table has besides the one that changes, and rowSize and
	// configSize are about what such rows and a configuration take.
	rowsOfUpstreams = 200
	rowSize         = 330
	configSize      = 45 << 10
	// maxRestoreReads is how many instances of a large fleet may read the store within five seconds of
	// its return more than in five seconds before it.
	maxRestoreReads = 40
)

// membersBefore returns the live members that hold the table as of an earlier era.
func (f *fleet) membersBefore(era uint64) (out []spec.InstanceID) {
	for id, m := range f.members {
		if !f.frozen[id] && m.view.Version().Era() < era {
			out = append(out, id)
		}
	}
	return out
}

// sentBytes returns how many bytes all members have sent.
func (f *fleet) sentBytes() (n int) {
	for _, bytes := range f.bytesSent {
		n += bytes
	}
	return n
}

// Guards against a fleet that reads the store all at once, or stays in an earlier era, after the store
// came back from an older copy. Some instances are frozen, also the one that reads.
func TestRestoredStoreReachesLargeFleet(t *testing.T) {
	for _, n := range append([]int{4, 33, 301}, sizes...) {
		for seed := range seedsLarge {
			t.Run(fmt.Sprintf("%d instances, seed %d", n, seed), func(t *testing.T) {
				t.Parallel()
				random := rand.New(rand.NewPCG(seed, uint64(n)))
				f := newNamedFleet(n, fmt.Sprintf("r%d-", seed))
				store := &fakeStore{}
				for k := range rowsOfUpstreams {
					store.put(fmt.Sprintf("upstream-%d", k), strings.Repeat("u", rowSize))
				}
				store.put(changedKey, strings.Repeat("a", configSize))
				f.runWithStore(store, tickInterval, 3*time.Second, nil)
				readsBefore, bytesBefore := store.reads, f.sentBytes()
				f.runWithStore(store, 3*time.Second, 8*time.Second, nil)
				readsBefore, bytesBefore = store.reads-readsBefore, f.sentBytes()-bytesBefore
				store.put(changedKey, strings.Repeat("b", configSize))
				f.runWithStore(store, 8*time.Second, 9*time.Second, nil)
				if random.IntN(2) == 0 && n > 4 {
					f.frozen[f.reader()] = true
				}
				f.freeze(random.IntN(1+n/10), random)
				store.restore(1 + random.IntN(60))
				reads, read, bytes := store.reads, store.bytesRead, f.sentBytes()
				known := f.runWithStore(store, 9*time.Second, 9*time.Second+maxPropagation, func() bool { return len(f.membersBefore(1)) == 0 })
				if behind := f.membersBefore(1); len(behind) > 0 {
					t.Errorf("got %d instances in the earlier era after %s, want none: %v", len(behind), maxPropagation, behind)
				}
				f.runWithStore(store, known, 14*time.Second, nil)
				reads, read, bytes = store.reads-reads, store.bytesRead-read, f.sentBytes()-bytes
				t.Logf("known after %s; within 5 s %d reads of %d KB (%d reads in 5 s before), %d KB between instances (%d KB before)", known-9*time.Second, reads, read>>10, readsBefore, bytes>>10, bytesBefore>>10)
				if reads > readsBefore+maxRestoreReads {
					t.Errorf("got %d reads of the store, want %d at most", reads, readsBefore+maxRestoreReads)
				}
			})
		}
	}
}

// Guards against an instance that starts with a table of the store's copy and is not sent what others
// know, however late its version, or is sent a table by one that knows nothing.
func TestStartingInstanceIsSentWhatDiffers(t *testing.T) {
	page := func(version uint64, value string) feed.Page {
		row := feed.Row{Key: changedKey, Version: spec.NewRevision(1, version), Value: []byte(value)}
		return feed.Page{Rows: []feed.Row{row}, Version: row.Version}
	}
	for _, test := range []struct {
		name string
		held string
		// want is the least and the most tables that the starting instance is sent in a second.
		want [2]int
	}{{"other content", "newer", [2]int{1, 4}}, {"same content", "copy", [2]int{0, 0}}, {"nothing", "", [2]int{0, 0}}} {
		t.Run(test.name, func(t *testing.T) {
			f := newFleet(4)
			starting := f.members["i3"]
			starting.logic.Starting = func() bool { return true }
			starting.view.ApplySnapshot(page(9, "copy"))
			for _, id := range []spec.InstanceID{"i0", "i1", "i2"} {
				if test.held != "" {
					f.members[id].view.ApplySnapshot(page(5, test.held))
				}
			}
			f.run(0, time.Second)
			if got := starting.tablesReceived; got < test.want[0] || got > test.want[1] {
				t.Errorf("got %d tables, want %d to %d", got, test.want[0], test.want[1])
			}
		})
	}
}
