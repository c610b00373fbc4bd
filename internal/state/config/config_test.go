package config_test

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/fakes/infra"
	"fulmarwick/internal/state/config"
	"fulmarwick/internal/state/store"

	"github.com/go-faster/errors"
)

const hash = "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"

func doc(text string) []config.Document {
	return []config.Document{{File: "a.ini", Data: []byte(text)}}
}

func class(name, whole string) []config.Document {
	return doc("[class " + name + "]\nkind = model\nmodel = levy\nwhole = " + whole + "\n")
}

func apply(t *testing.T, table config.CommitTable, docs []config.Document) uint64 {
	t.Helper()
	a := &config.Applier{Table: table}
	v, err := a.Apply(t.Context(), config.Change{Documents: docs, Who: "siti"})
	if err != nil {
		t.Fatal(err)
	}
	return v
}

func whole(b *config.Book, name spec.ClassName) time.Duration {
	c, _ := b.Class(name)
	return c.Target().TotalTime()
}

// All problems of two documents come at once, each with its file, its section
// and the reason, and nothing is changed.
func TestRefusesWithAllProblems(t *testing.T) {
	table := &infra.Table{}
	apply(t, table, doc("[team depot]\nkey-hash="+hash+"\n[class ask]\nkind=model\nmodel=levy\nfirst=1s\nteams=depot\n"))
	docs := []config.Document{
		{File: "a.ini", Data: []byte(`stray = 1
[class one]
kind = model
model = levy
gap = 2s
whole = 1s
percent = 101
weight = 5
[class two]
kind = queue
first = soon
service = pay
[team depot]
remove = yes
[team copy]
key-hash = ` + hash + `
[engine x]
[class A B]
kind = model
`)},
		{File: "b.ini", Data: []byte(`[class one]
kind = plain
service = pay
whole = 1s
first = 1s
teams = nobody
[model levy]
default = missing
[team bad]
key-hash = secret
share = 0
[class gone]
remove = yes
`)},
	}
	a := &config.Applier{Table: table, Uses: func(string) (string, bool) { return "3 requests in progress", true }}
	_, err := a.Apply(t.Context(), config.Change{Documents: docs, Who: "siti"})
	var bad *config.InvalidError
	if !errors.As(err, &bad) {
		t.Fatalf("got %v, want an InvalidError", err)
	}
	for _, want := range []string{
		"a.ini: []: key stray stands before",
		"a.ini: [class one]: weight is not a key",
		"a.ini: [class two]: kind is model or plain",
		"a.ini: [class two]: first is a time above zero",
		"a.ini: [engine x]: unknown section",
		"a.ini: [class A B]: a name has",
		"a.ini: [team depot]: team is in use: 3 requests",
		"in force: [class ask]: uses team depot, which is removed",
		"b.ini: [class one]: defined twice, first in a.ini",
		"b.ini: [class one]: names the unknown team nobody",
		"b.ini: [class one]: a plain class has a target for the whole answer only",
		"b.ini: [model levy]: default names the unknown class missing",
		"b.ini: [team bad]: key-hash is the SHA-256",
		"b.ini: [team bad]: share must be above 0",
		"b.ini: [class gone]: unknown class cannot be removed",
	} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("got no %q in:\n%v", want, err)
		}
	}
	one := doc("[class one]\nkind=model\nmodel=levy\ngap=2s\nwhole=1s\npercent=101\nreliability=200")
	_, err = a.Apply(t.Context(), config.Change{Documents: one, Who: "siti"})
	for _, want := range []string{"gap 2s is longer than whole 1s", "percent is 101", "reliability is 200"} {
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("got %v, want %q", err, want)
		}
	}
	if h, err := a.History(t.Context(), 10); len(h) != 1 || err != nil {
		t.Errorf("got history %v %v, want the first change only", h, err)
	}
}

// What show prints is a document that apply takes, and applying it changes
// nothing.
func TestShowIsADocument(t *testing.T) {
	table := &infra.Table{}
	v := apply(t, table, doc(`[team depot]
key-hash=`+hash+`
limit=50
[class ask]
kind=model
model=levy
first=770ms
gap=27ms
reliability=99.9
teams=depot
[class pay]
kind=plain
service=payments
whole=2s
[service payments]
outcomes=yes
[model levy]
default=ask
`))
	a := &config.Applier{Table: table}
	s, err := a.Show(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if got := apply(t, table, doc(s.Text())); got != v {
		t.Errorf("got version %d for the shown text, want %d", got, v)
	}
	if err := config.CheckAlone(doc(s.Text())); err != nil {
		t.Errorf("got %v from CheckAlone, want nil", err)
	}
	copied, err := config.DecodeSnapshot(s.Encode())
	if err != nil || copied.Text() != s.Text() {
		t.Errorf("got %v %q, want the same text", err, copied.Text())
	}
	if !s.Asks("payments") || s.Limit(hash) != 50 || s.Reliability("ask") != 99.9 || s.Allows("ask", "other") || !s.Allows("pay", "other") {
		t.Errorf("got other extras than the document has: %s", s.Text())
	}
}

// meddler runs once before a commit, as another operator would.
type meddler struct {
	*infra.Table
	once func()
}

func (m *meddler) Commit(ctx context.Context, w []store.Write) (uint64, error) {
	if f := m.once; f != nil {
		m.once = nil
		f()
	}
	return m.Table.Commit(ctx, w)
}

// Two operators change targets at the same moment. Different classes: both
// win. The same class: the later one is told who won, and nothing of it is in
// force.
func TestRacingOperators(t *testing.T) {
	table := &infra.Table{}
	race := &meddler{Table: table, once: func() { apply(t, table, class("one", "1s")) }}
	if got := apply(t, race, class("two", "2s")); got != 2 {
		t.Errorf("got version %d behind a disjoint change, want 2", got)
	}
	race.once = func() { apply(t, table, class("one", "5s")) }
	a := &config.Applier{Table: race}
	both := append(class("one", "9s"), class("three", "3s")...)
	_, err := a.Apply(t.Context(), config.Change{Documents: both, Who: "ravi"})
	var lost *config.ConflictError
	if !errors.As(err, &lost) || len(lost.Winners) != 1 || lost.Winners[0].Who != "siti" || lost.Winners[0].Version != 3 {
		t.Fatalf("got %v, want a conflict won by siti with version 3", err)
	}
	_, err = a.Apply(t.Context(), config.Change{Documents: class("one", "9s"), Who: "ravi", Base: 2})
	if !errors.As(err, &lost) {
		t.Errorf("got %v for a change based on version 2, want a conflict", err)
	}
	s, err := a.Show(t.Context())
	if err != nil || s.Version() != 3 || len(s.Classes()) != 2 || s.Classes()[0].Target().TotalTime() != 5*time.Second {
		t.Errorf("got %s, want version 3 with siti's target and no class three", s.Text())
	}
}

// Answers of the table are lost around a change. The operator is told the
// truth: accepted once if the change is found, else to look in the history.
func TestLostAnswers(t *testing.T) {
	cases := []struct {
		name   string
		faults infra.Faults
		want   uint64
	}{
		{"lost after the effect", infra.Faults{Lose: 1}, 2},
		{"lost before the effect", infra.Faults{Drop: 2}, 2},
		{"lost after the effect, twice", infra.Faults{Drop: 1, Lose: 1}, 2},
	}
	for _, c := range cases {
		synctest.Test(t, func(t *testing.T) {
			table := &infra.Table{}
			apply(t, table, class("one", "1s"))
			table.Fault(c.faults)
			if got := apply(t, table, class("one", "2s")); got != c.want {
				t.Errorf("%s: got version %d, want %d", c.name, got, c.want)
			}
			h, err := (&config.Applier{Table: table}).History(t.Context(), 10)
			if err != nil || len(h) != 2 || h[0].Sections[0] != "class one" {
				t.Errorf("%s: got history %v %v, want two changes", c.name, h, err)
			}
		})
	}
	synctest.Test(t, func(t *testing.T) {
		table := &infra.Table{}
		race := &meddler{Table: table}
		race.once = func() { table.Fault(infra.Faults{Drop: 100}) }
		_, err := (&config.Applier{Table: race}).Apply(t.Context(), config.Change{Documents: class("one", "1s"), ID: "c1"})
		var open *config.UnsureError
		if !errors.As(err, &open) || open.Change != "c1" {
			t.Errorf("got %v, want an UnsureError that names the change", err)
		}
		table.Fault(infra.Faults{Down: true})
		if _, err := (&config.Applier{Table: table}).Apply(t.Context(), config.Change{}); !errors.Is(err, config.ErrStore) {
			t.Errorf("got %v with the table down, want ErrStore", err)
		}
	})
}

// Class one was tightened and accepted. Then an instance restarts, reads are
// stale, an old peer offers its snapshot and the table goes out: on no
// instance does the old target come back.
func TestNeverReverts(t *testing.T) {
	table := &infra.Table{}
	apply(t, table, class("one", "1s"))
	old := &config.Follower{Table: table, Book: &config.Book{}}
	round(t, old)
	oldPeer := old.Book.Now().Encode()
	apply(t, table, class("one", "2s"))
	f := &config.Follower{Table: table, Book: &config.Book{}}
	round(t, f)

	table.Fault(infra.Faults{Stale: true})
	round(t, f)
	if err := f.TakePeer(oldPeer); err != nil {
		t.Errorf("got %v from an old peer, want it dropped in silence", err)
	}
	if got := whole(f.Book, "one"); got != 2*time.Second {
		t.Errorf("got a target of %v after stale reads, want 2s", got)
	}

	// A restarted instance sees stale reads only: what it has heard of by
	// gossip keeps it from being ready with the old version.
	restarted := &config.Follower{Table: table, Book: &config.Book{}}
	restarted.Hint(2)
	_ = restarted.Round(t.Context())
	if restarted.Ready() {
		t.Errorf("got ready at version %d, want not before version 2", restarted.Version())
	}
	table.Fault(infra.Faults{})
	round(t, restarted)
	if got := whole(restarted.Book, "one"); got != 2*time.Second || !restarted.Ready() {
		t.Errorf("got %v, ready %v, want 2s and ready", got, restarted.Ready())
	}
}

func round(t *testing.T, f *config.Follower) {
	t.Helper()
	if err := f.Round(t.Context()); err != nil {
		t.Fatal(err)
	}
}

// mixer answers scans with one row as it was before its last change, as a
// replica does that lags for some rows only.
type mixer struct {
	*infra.Table
	stale store.Row
}

func (m *mixer) Scan(ctx context.Context, prefix string, since uint64, limit int) ([]store.Row, error) {
	rows, err := m.Table.Scan(ctx, prefix, since, limit)
	for i := range rows {
		if rows[i].Key() == m.stale.Key() {
			rows[i] = m.stale
		}
	}
	return rows, err
}

// A lagging replica shows the new head with an old row. Taking both would put
// a mixture in force that no operator ever accepted; the digest shows it.
func TestMixturesAreDropped(t *testing.T) {
	table := &infra.Table{}
	apply(t, table, class("one", "1s"))
	before, err := table.Get(t.Context(), "conf/class/one")
	if err != nil {
		t.Fatal(err)
	}
	f := &config.Follower{Table: table, Book: &config.Book{}}
	round(t, f)
	apply(t, table, append(class("one", "2s"), class("two", "2s")...))
	f.Table = &mixer{Table: table, stale: before}
	if err := f.Round(t.Context()); !errors.Is(err, config.ErrRow) {
		t.Errorf("got %v for a mixture, want ErrRow", err)
	}
	if got := f.Version(); got != 1 {
		t.Errorf("got version %d, want 1 still", got)
	}
	f.Table = table
	round(t, f)
	if got := whole(f.Book, "one"); got != 2*time.Second || f.Version() != 2 {
		t.Errorf("got %v at version %d, want 2s at 2", got, f.Version())
	}
}

// peers are the snapshots of other instances.
type peers [][]byte

func (p peers) Snapshots(context.Context) ([][]byte, error) { return p, nil }

// An instance joins while the table is out. It starts from the newest of its
// peers; one that reaches no peer either is not ready. When the table returns
// it reads only what changed since.
func TestJoinsDuringOutage(t *testing.T) {
	table := &infra.Table{}
	first := &config.Follower{Table: table, Book: &config.Book{}}
	var snaps peers
	for _, w := range []string{"1s", "2s", "3s"} {
		apply(t, table, class("one", w))
		round(t, first)
		snaps = append(snaps, first.Book.Now().Encode())
	}
	snaps[1], snaps[2] = snaps[2], snaps[1]
	table.Fault(infra.Faults{Down: true})
	alone := &config.Follower{Table: table, Book: &config.Book{}}
	if err := alone.Round(t.Context()); !errors.Is(err, config.ErrStore) || alone.Ready() {
		t.Errorf("got %v and ready %v without table and peers, want ErrStore and not ready", err, alone.Ready())
	}
	seen := []uint64{}
	joined := &config.Follower{Table: table, Book: &config.Book{}, Peers: snaps, OnChange: func(s *config.Snapshot) { seen = append(seen, s.Version()) }}
	_ = joined.Round(t.Context())
	if joined.Version() != 3 || !joined.Ready() || len(seen) != 2 {
		t.Errorf("got version %d, ready %v, changes %v; want 3 after 1", joined.Version(), joined.Ready(), seen)
	}
	table.Fault(infra.Faults{})
	apply(t, table, class("two", "1s"))
	readsBefore, _ := table.Counts()
	round(t, joined)
	readsAfter, _ := table.Counts()
	if got := readsAfter - readsBefore; joined.Version() != 4 || got != 2 {
		t.Errorf("got version %d with %d reads, want 4 with 2", joined.Version(), got)
	}
}

// A document of 1,200 teams is one commit, larger than a page of a scan: no
// follower misses a row at the end of a page.
func TestLargeChangeIsReadWhole(t *testing.T) {
	table := &infra.Table{}
	var b strings.Builder
	for i := range 1200 {
		name := strings.Repeat("x", 1+i%50) + string(rune('a'+i/50))
		b.WriteString("[team " + name + "]\nkey-hash=" + hashOf(name) + "\n")
	}
	apply(t, table, class("one", "1s"))
	apply(t, table, doc(b.String()))
	f := &config.Follower{Table: table, Book: &config.Book{}}
	round(t, f)
	if got := len(f.Book.Now().Teams()); got != 1200 {
		t.Errorf("got %d teams, want 1200", got)
	}
}

func hashOf(key string) string { return string(config.HashKey(key)) }

// Snapshots from peers are outside input: bytes of any kind give an error or a
// snapshot that fits together.
func FuzzDecodeSnapshot(f *testing.F) {
	table := &infra.Table{}
	a := &config.Applier{Table: table}
	if _, err := a.Apply(f.Context(), config.Change{Documents: class("one", "1s")}); err != nil {
		f.Fatal(err)
	}
	s, err := a.Show(f.Context())
	if err != nil {
		f.Fatal(err)
	}
	f.Add(s.Encode())
	f.Add([]byte{0xa0})
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := config.DecodeSnapshot(data)
		if err == nil && s.Version() == 0 {
			t.Error("got a snapshot without a version")
		}
	})
}

// Documents are outside input too: what is accepted can be shown and accepted
// again.
func FuzzDocument(f *testing.F) {
	f.Add("[class a]\nkind=model\nmodel=m\nfirst=1s\npercent=99.5\n")
	f.Add("[team a]\nkey-hash=" + hash + "\nshare=2\n[class b]\nkind=plain\nservice=s\nwhole=1h\nteams=a\n")
	f.Fuzz(func(t *testing.T, text string) {
		a := &config.Applier{Table: &infra.Table{}}
		v, err := a.Apply(context.Background(), config.Change{Documents: doc(text)})
		if err != nil || v == 0 {
			return
		}
		s, err := a.Show(context.Background())
		if err != nil {
			t.Fatal(err)
		}
		if again, err := a.Apply(context.Background(), config.Change{Documents: doc(s.Text())}); err != nil || again != v {
			t.Errorf("got %d %v for the shown text of %q, want version %d:\n%s", again, err, text, v, s.Text())
		}
	})
}
