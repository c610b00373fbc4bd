package feed_test

import (
	"bytes"
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/state/feed"

	"github.com/go-faster/errors"
	"go.uber.org/zap"
	"pgregory.net/rapid"
)

// changeLog holds all changes of a table, ordered by version.
type changeLog []feed.Row

func (l changeLog) changesSince(version spec.Revision) feed.Page {
	p := feed.Page{Version: spec.Revision(len(l))}
	newest := map[string]feed.Row{}
	for _, r := range l {
		newest[r.Key] = r
	}
	for _, r := range l {
		if r.Version > version && newest[r.Key].Version == r.Version {
			p.Rows = append(p.Rows, r)
		}
	}
	return p
}

func (l changeLog) snapshot(version spec.Revision) feed.Page {
	p := feed.Page{Version: version}
	for _, r := range l[:version].changesSince(0).Rows {
		if !r.Deleted {
			p.Rows = append(p.Rows, r)
		}
	}
	return p
}

func equalRows(a, b []feed.Row) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i].Key != b[i].Key || !bytes.Equal(a[i].Value, b[i].Value) {
			return false
		}
	}
	return true
}

// Three instances read a table, send each other missing changes in any order, late and
// twice, confirm versions to each other, and read stale snapshots. No row may ever
// return to an older version, and a view must hold all changes up to its version: an
// instance with too high a version would keep rows that are no longer valid.
func TestViewsConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var l changeLog
		views := []*feed.View{{}, {}, {}}
		values := 1 << 20
		if rapid.Bool().Draw(t, "heartbeats") {
			// Rows are rewritten with one of two values, so that many stay the same.
			values = 2
		}
		seen := []map[string]spec.Revision{{}, {}, {}}
		check := func(i int, changed []feed.Row) {
			for _, r := range changed {
				if r.Version < seen[i][r.Key] {
					t.Fatalf("got version %d of %s after %d, want no older version", r.Version, r.Key, seen[i][r.Key])
				}
				seen[i][r.Key] = r.Version
			}
			if v := views[i]; !matchesTable(v, l) {
				t.Fatalf("view %d: got %v up to %d, want %v", i, v.Rows(), v.Version(), l.snapshot(v.Version()).Rows)
			}
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			i := rapid.IntRange(0, 2).Draw(t, "view")
			peer := views[(i+rapid.IntRange(1, 2).Draw(t, "other"))%3]
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0, 1:
				r := feed.Row{Key: fmt.Sprint(rapid.IntRange(0, 4).Draw(t, "key")), Version: spec.Revision(len(l) + 1)}
				r.Deleted = rapid.Bool().Draw(t, "gone")
				if !r.Deleted {
					r.Value = []byte(fmt.Sprint(rapid.IntRange(0, values-1).Draw(t, "value")))
				}
				l = append(l, r)
			case 2:
				since := views[i].Version()
				check(i, views[i].ApplyChanges(since, l.changesSince(since)))
			case 3:
				since, p := peer.ChangesSince(spec.Revision(rapid.IntRange(0, len(l)).Draw(t, "since")))
				check(i, views[i].ApplyPeerChanges(since, p.Rows, peer.Checkpoint()))
			case 4:
				at := spec.Revision(rapid.IntRange(0, len(l)).Draw(t, "moment"))
				check(i, views[i].ApplySnapshot(l.snapshot(at)))
			case 5:
				views[i].ConfirmVersion(peer.Checkpoint())
				check(i, nil)
			}
		}
		for _, v := range views {
			v.ApplyChanges(v.Version(), l.changesSince(v.Version()))
			if want := l.snapshot(spec.Revision(len(l))).Rows; !equalRows(v.Rows(), sortedRows(want)) {
				t.Fatalf("got %v, want %v", v.Rows(), want)
			}
		}
	})
}

// matchesTable reports whether a view has the rows of the table as of its version,
// except for rows that are newer.
func matchesTable(v *feed.View, l changeLog) bool {
	want := map[string]string{}
	for _, r := range l.snapshot(v.Version()).Rows {
		want[r.Key] = string(r.Value)
	}
	newer := map[string]bool{}
	for _, r := range l[v.Version():] {
		newer[r.Key] = true
	}
	for _, r := range v.Rows() {
		if value, ok := want[r.Key]; !newer[r.Key] && (!ok || value != string(r.Value)) {
			return false
		}
		delete(want, r.Key)
	}
	for key := range want {
		if !newer[key] {
			return false
		}
	}
	return true
}

func sortedRows(rows []feed.Row) []feed.Row {
	var v feed.View
	v.ApplySnapshot(feed.Page{Rows: rows, Version: 1 << 40})
	return v.Rows()
}

// An upstream's row is deleted. An instance that starts afterwards reads the whole table
// and never knew the row. It sends the changes to a peer that has not seen the deletion.
// If the peer took these changes for complete, it would keep sending requests to the
// removed upstream for as long as it runs.
func TestDeletionBeforeStartReachesPeers(t *testing.T) {
	l := changeLog{{Key: "gone", Version: 1, Value: []byte("1")}}
	var old, started feed.View
	old.ApplySnapshot(l.snapshot(1))
	l = append(l, feed.Row{Key: "gone", Version: 2, Deleted: true}, feed.Row{Key: "new", Version: 3, Value: []byte("3")})
	started.ApplySnapshot(l.snapshot(3))
	syncFrom(&started, &old)
	if rows := old.Rows(); len(rows) != 1 || rows[0].Key != "new" {
		t.Errorf("got %v at version %d, want only the new row", rows, old.Version())
	}
	// If the peer did not send it, the view must get the deletion from the store.
	old.ApplyChanges(old.Version(), l.changesSince(old.Version()))
	if rows := old.Rows(); len(rows) != 1 || rows[0].Key != "new" {
		t.Errorf("got %v after a read of the store, want only the new row", rows)
	}
}

// syncFrom applies to a view the changes that it lacks from another view.
func syncFrom(from, to *feed.View) {
	since, p := from.ChangesSince(to.Version())
	to.ApplyPeerChanges(since, p.Rows, from.Checkpoint())
}

// A heartbeat rewrites a row with the same content, so it must not be reported as a
// change or sent to peers.
func TestHeartbeatIsNoChange(t *testing.T) {
	v := &feed.View{Fingerprint: func(_ string, value []byte) uint64 { return uint64(value[0]) }}
	v.ApplyChanges(0, feed.Page{Rows: []feed.Row{{Key: "k", Version: 1, Value: []byte("a1")}}, Version: 1})
	if got := v.ApplyChanges(1, feed.Page{Rows: []feed.Row{{Key: "k", Version: 2, Value: []byte("a2")}}, Version: 2}); len(got) != 0 {
		t.Errorf("got %v, want no change", got)
	}
	if _, p := v.ChangesSince(1); len(p.Rows) != 0 || p.Version != 2 {
		t.Errorf("got %d rows up to %d, want none up to 2", len(p.Rows), p.Version)
	}
	if got := v.ApplyChanges(2, feed.Page{Rows: []feed.Row{{Key: "k", Version: 3, Value: []byte("b")}}, Version: 3}); len(got) != 1 {
		t.Errorf("got %v, want one change", got)
	}
}

// scriptedSource is a table whose calls fail according to a script.
type scriptedSource struct {
	mu            sync.Mutex
	log           changeLog
	errs          []error
	snapshotReads int
}

func (s *scriptedSource) Era() uint64 { return 0 }

func (s *scriptedSource) nextError() error {
	if len(s.errs) == 0 {
		return nil
	}
	err := s.errs[0]
	s.errs = s.errs[1:]
	return err
}

func (s *scriptedSource) ReadTable(context.Context, string) (feed.Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.snapshotReads++
	return s.log.snapshot(spec.Revision(len(s.log))), s.nextError()
}

func (s *scriptedSource) ReadChanges(ctx context.Context, _ string, since spec.Revision, wait time.Duration) (feed.Page, error) {
	s.mu.Lock()
	err := s.nextError()
	s.mu.Unlock()
	if err != nil {
		return feed.Page{}, err
	}
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.log.changesSince(since), nil
}

// recordingSink records what a follower delivers.
type recordingSink struct {
	view      feed.View
	reachable []bool
}

func (s *recordingSink) Version(string) spec.Revision        { return s.view.Version() }
func (s *recordingSink) ApplySnapshot(_ string, p feed.Page) { s.view.ApplySnapshot(p) }

func (s *recordingSink) ApplyChanges(_ string, since spec.Revision, p feed.Page) {
	s.view.ApplyChanges(since, p)
}

func (s *recordingSink) SetReachable(_ string, ok bool) { s.reachable = append(s.reachable, ok) }

// The store fails three calls, loses its change history and answers again. The follower
// must read the whole table once more and then have every row; the outage and the
// recovery must be reported once each.
func TestFollowerRecoversFromOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		unavailable := errors.New("down")
		src := &scriptedSource{log: changeLog{{Key: "a", Version: 1, Value: []byte("1")}}}
		got := &recordingSink{}
		f := &feed.Follower{Table: "t", Source: src, Sink: got, PollTimeout: time.Second, PollInterval: 100 * time.Millisecond, Log: zap.NewNop()}
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { f.Run(ctx); close(done) }()
		time.Sleep(3 * time.Second)
		src.mu.Lock()
		src.errs = []error{unavailable, unavailable, unavailable, feed.ErrHistoryLost}
		src.log = append(src.log, feed.Row{Key: "a", Version: 2, Deleted: true}, feed.Row{Key: "b", Version: 3, Value: []byte("3")})
		src.mu.Unlock()
		time.Sleep(10 * time.Second)
		cancel()
		<-done
		if rows := got.view.Rows(); len(rows) != 1 || rows[0].Key != "b" {
			t.Errorf("got %v, want only b", rows)
		}
		if want := []bool{true, false, true}; fmt.Sprint(got.reachable) != fmt.Sprint(want) {
			t.Errorf("got %v, want %v", got.reachable, want)
		}
		if src.snapshotReads != 2 {
			t.Errorf("got %d reads of the whole table, want 2", src.snapshotReads)
		}
	})
}
