package feed_test

import (
	"fmt"
	"testing"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/state/feed"

	"pgregory.net/rapid"
)

// restorableLog is a table that can be put back to an older copy, and its changes.
type restorableLog struct {
	era uint64
	log changeLog
}

func (l *restorableLog) revision(version uint64) spec.Revision {
	return spec.NewRevision(l.era, version)
}

// page returns a page in the revisions of the current era.
func (l *restorableLog) page(p feed.Page) feed.Page {
	p.Version = l.revision(p.Version.Version())
	for n, r := range p.Rows {
		p.Rows[n].Version = l.revision(r.Version.Version())
	}
	return p
}

func (l *restorableLog) snapshot() feed.Page {
	return l.page(l.log.snapshot(spec.Revision(len(l.log))))
}

// read reads the table as a follower does: the changes since the view's version, or all of it if there is
// no history from there.
func (l *restorableLog) read(v *feed.View) {
	since := v.Version()
	if since.Era() != l.era || since.Version() > uint64(len(l.log)) {
		v.ApplySnapshot(l.snapshot())
		return
	}
	v.ApplyChanges(since, l.page(l.log.changesSince(spec.Revision(since.Version()))))
}

// Guards against views that hold rows which the store no longer has, or miss rows, after it came back from
// older copies: three instances read it, tell each other and read stale tables of earlier eras.
func TestViewsConvergeAcrossRestores(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := &restorableLog{}
		views := []*feed.View{{}, {}, {}}
		versions := make([]spec.Revision, len(views))
		var old []feed.Page
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			i := rapid.IntRange(0, 2).Draw(t, "view")
			peer := views[(i+rapid.IntRange(1, 2).Draw(t, "other"))%3]
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0, 1:
				r := feed.Row{Key: fmt.Sprint(rapid.IntRange(0, 4).Draw(t, "key")), Version: spec.Revision(len(l.log) + 1)}
				r.Deleted = rapid.Bool().Draw(t, "gone")
				if !r.Deleted {
					r.Value = fmt.Append(nil, rapid.IntRange(0, 3).Draw(t, "value"))
				}
				l.log = append(l.log, r)
			case 2:
				l.read(views[i])
			case 3:
				since, p := peer.ChangesSince(views[i].Version())
				views[i].ApplyPeerChanges(since, p.Rows, peer.Checkpoint())
			case 4:
				views[i].ConfirmVersion(peer.Checkpoint())
			case 5:
				old = append(old, l.snapshot())
				l.log = l.log[:rapid.IntRange(0, len(l.log)).Draw(t, "kept")]
				l.era++
			case 6:
				if len(old) > 0 {
					views[i].ApplySnapshot(old[rapid.IntRange(0, len(old)-1).Draw(t, "late")])
				}
			}
			if got := views[i].Version(); got < versions[i] {
				t.Fatalf("got version %s after %s, want no older one", got, versions[i])
			}
			versions[i] = views[i].Version()
		}
		for n, v := range views {
			l.read(v)
			if want := sortedRows(l.snapshot().Rows); !equalRows(v.Rows(), want) {
				t.Fatalf("view %d: got %v at %s, want %v", n, v.Rows(), v.Version(), want)
			}
		}
	})
}

// stages is a table whose values are "WRITER STEP".
func stages(_ string, value []byte) feed.Stage {
	s := feed.Stage{Known: true}
	if _, err := fmt.Sscan(string(value), &s.Writer, &s.Step); err != nil {
		return feed.Stage{}
	}
	return s
}

// Guards against what was acknowledged being undone by a copy of the store that lacks it.
func TestLaterStageOutlivesRestore(t *testing.T) {
	tests := []struct {
		name string
		// held is the value before the restore, copied that of the copy and again what is written
		// after it; empty means no row.
		held, copied, again string
		// want are the values after the copy was read and after it was written again.
		want [2]string
	}{
		{"step back", "1 2", "1 1", "1 2", [2]string{"1 2", "1 2"}},
		{"another writer", "1 2", "2 1", "2 2", [2]string{"2 1", "2 2"}},
		{"removed", "", "1 1", "", [2]string{"", ""}},
		{"removed, back as a new process", "", "2 1", "2 2", [2]string{"2 1", "2 2"}},
		{"missing in the copy", "1 2", "", "1 2", [2]string{"", "1 2"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			v, peer := &feed.View{Stage: stages}, &feed.View{Stage: stages}
			write := func(era, version uint64, value string) {
				row := feed.Row{Key: "k", Version: spec.NewRevision(era, version), Value: []byte(value), Deleted: value == ""}
				v.ApplyChanges(spec.NewRevision(era, version-1), feed.Page{Rows: []feed.Row{row}, Version: row.Version})
			}
			v.ApplySnapshot(feed.Page{Version: spec.NewRevision(1, 1)})
			write(1, 2, "1 1")
			write(1, 9, test.held)
			copied := feed.Page{Version: spec.NewRevision(2, 5)}
			if test.copied != "" {
				copied.Rows = []feed.Row{{Key: "k", Version: spec.NewRevision(2, 2), Value: []byte(test.copied)}}
			}
			v.ApplySnapshot(copied)
			if got := valueOf(v); got != test.want[0] {
				t.Errorf("got %q after the copy, want %q", got, test.want[0])
			}
			// An instance that starts reads the copy and then hears of the one that runs.
			peer.ApplySnapshot(feed.Page{Rows: copied.Rows, Version: spec.NewRevision(2, 6)})
			since, p := v.ChangesSince(0)
			if since != 0 {
				t.Fatalf("got changes since %s, want the whole table", since)
			}
			peer.Adopt(p.Rows, v.Checkpoint())
			if got := valueOf(peer); got != test.want[0] || peer.Checkpoint() != v.Checkpoint() {
				t.Errorf("got %q at %v by the started instance, want %q at %v", got, peer.Checkpoint(), test.want[0], v.Checkpoint())
			}
			write(2, 7, test.again)
			if got := valueOf(v); got != test.want[1] {
				t.Errorf("got %q after it was written again, want %q", got, test.want[1])
			}
		})
	}
}

// valueOf returns the value of the only row of a view; empty if there is none.
func valueOf(v *feed.View) string {
	for _, r := range v.Rows() {
		return string(r.Value)
	}
	return ""
}
