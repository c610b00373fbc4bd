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

const testKeyHash = "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"

func document(text string) []config.Document {
	return []config.Document{{File: "a.ini", Data: []byte(text)}}
}

func classDocument(name, whole string) []config.Document {
	return document("[class " + name + "]\nkind = model\nmodel = levy\nwhole = " + whole + "\n")
}

func mustApply(t *testing.T, table config.CommitTable, docs []config.Document) uint64 {
	t.Helper()
	a := &config.Applier{Table: table}
	v, err := a.Apply(t.Context(), config.Change{Documents: docs, Author: "siti"})
	if err != nil {
		t.Fatal(err)
	}
	return v
}

func totalTime(b *config.Active, name spec.ClassName) time.Duration {
	c, _ := b.Class(name)
	return c.Target().TotalTime()
}

// All problems of two documents are reported together, each with its file, section
// and reason, and nothing is changed.
func TestReportsAllProblems(t *testing.T) {
	table := &infra.Table{}
	mustApply(t, table, document("[team depot]\nkey-hash="+testKeyHash+"\n[class ask]\nkind=model\nmodel=levy\nfirst=1s\nteams=depot\n"))
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
key-hash = ` + testKeyHash + `
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
	a := &config.Applier{Table: table, TeamInUse: func(string) (string, bool) { return "3 requests in progress", true }}
	_, err := a.Apply(t.Context(), config.Change{Documents: docs, Author: "siti"})
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
			t.Errorf("got error without %q:\n%v", want, err)
		}
	}
	one := document("[class one]\nkind=model\nmodel=levy\ngap=2s\nwhole=1s\npercent=101\nreliability=200")
	_, err = a.Apply(t.Context(), config.Change{Documents: one, Author: "siti"})
	for _, want := range []string{"gap 2s is longer than whole 1s", "percent is 101", "reliability is 200"} {
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("got %v, want %q", err, want)
		}
	}
	if h, err := a.History(t.Context(), 10); len(h) != 1 || err != nil {
		t.Errorf("got history %v %v, want the first change only", h, err)
	}
}

// The text that show prints is a document that apply accepts, and applying it changes
// nothing.
func TestSnapshotTextIsValidDocument(t *testing.T) {
	table := &infra.Table{}
	v := mustApply(t, table, document(`[team depot]
key-hash=`+testKeyHash+`
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
	s, err := a.ReadSnapshot(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if got := mustApply(t, table, document(s.Text())); got != v {
		t.Errorf("got version %d for the text of the snapshot, want %d", got, v)
	}
	if err := config.CheckOffline(document(s.Text())); err != nil {
		t.Errorf("got %v from CheckOffline, want nil", err)
	}
	copied, err := config.DecodeSnapshot(s.Encode())
	if err != nil || copied.Text() != s.Text() {
		t.Errorf("got %v %q, want the same text", err, copied.Text())
	}
	if !s.SupportsOutcomes("payments") || s.TeamRateLimit(testKeyHash) != 50 || s.ClassReliability("ask") != 99.9 || s.Allows("ask", "other") || !s.Allows("pay", "other") {
		t.Errorf("got outcomes, limit, reliability or teams that differ from the document: %s", s.Text())
	}
}

// interferingTable calls beforeCommit once before a commit, to make the change of
// another operator.
type interferingTable struct {
	*infra.Table
	beforeCommit func()
}

func (m *interferingTable) Commit(ctx context.Context, w []store.Write) (uint64, error) {
	if f := m.beforeCommit; f != nil {
		m.beforeCommit = nil
		f()
	}
	return m.Table.Commit(ctx, w)
}

// Two operators change targets at the same time. For different classes both changes
// take effect. For the same class the later operator gets a conflict with the author
// of the other change, and no part of the later change takes effect.
func TestConcurrentOperators(t *testing.T) {
	table := &infra.Table{}
	race := &interferingTable{Table: table, beforeCommit: func() { mustApply(t, table, classDocument("one", "1s")) }}
	if got := mustApply(t, race, classDocument("two", "2s")); got != 2 {
		t.Errorf("got version %d after a disjoint change, want 2", got)
	}
	race.beforeCommit = func() { mustApply(t, table, classDocument("one", "5s")) }
	a := &config.Applier{Table: race}
	both := append(classDocument("one", "9s"), classDocument("three", "3s")...)
	_, err := a.Apply(t.Context(), config.Change{Documents: both, Author: "ravi"})
	var conflict *config.ConflictError
	if !errors.As(err, &conflict) || len(conflict.Winners) != 1 || conflict.Winners[0].Author != "siti" || conflict.Winners[0].Version != 3 {
		t.Fatalf("got %v, want a conflict won by siti with version 3", err)
	}
	_, err = a.Apply(t.Context(), config.Change{Documents: classDocument("one", "9s"), Author: "ravi", BaseVersion: 2})
	if !errors.As(err, &conflict) {
		t.Errorf("got %v for a change based on version 2, want a conflict", err)
	}
	s, err := a.ReadSnapshot(t.Context())
	if err != nil || s.Version() != 3 || len(s.Classes()) != 2 || s.Classes()[0].Target().TotalTime() != 5*time.Second {
		t.Errorf("got %s, want version 3 with siti's target and no class three", s.Text())
	}
}

// Responses of the table are lost during a change. The operator gets a true result:
// the change is accepted once if it is found, else the error says that the outcome is
// unknown and names the change for a look at the history.
func TestLostCommitResponses(t *testing.T) {
	cases := []struct {
		name   string
		faults infra.Faults
		want   uint64
	}{
		{"lost after the effect", infra.Faults{LoseReplies: 1}, 2},
		{"lost before the effect", infra.Faults{DropCommits: 2}, 2},
		{"lost before and after the effect", infra.Faults{DropCommits: 1, LoseReplies: 1}, 2},
	}
	for _, c := range cases {
		synctest.Test(t, func(t *testing.T) {
			table := &infra.Table{}
			mustApply(t, table, classDocument("one", "1s"))
			table.SetFaults(c.faults)
			if got := mustApply(t, table, classDocument("one", "2s")); got != c.want {
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
		race := &interferingTable{Table: table}
		race.beforeCommit = func() { table.SetFaults(infra.Faults{DropCommits: 100}) }
		_, err := (&config.Applier{Table: race}).Apply(t.Context(), config.Change{Documents: classDocument("one", "1s"), ID: "c1"})
		var unknown *config.OutcomeUnknownError
		if !errors.As(err, &unknown) || unknown.ChangeID != "c1" {
			t.Errorf("got %v, want an OutcomeUnknownError with the ID of the change", err)
		}
		table.SetFaults(infra.Faults{Unavailable: true})
		if _, err := (&config.Applier{Table: table}).Apply(t.Context(), config.Change{}); !errors.Is(err, config.ErrStoreUnavailable) {
			t.Errorf("got %v with the table down, want ErrStoreUnavailable", err)
		}
	})
}

// A new target of class one was accepted. Then reads are stale, an outdated peer sends
// its snapshot and an instance restarts. No instance reverts to the old target.
func TestStaleReadNeverRevertsConfig(t *testing.T) {
	table := &infra.Table{}
	mustApply(t, table, classDocument("one", "1s"))
	old := &config.Follower{Table: table, Active: &config.Active{}}
	mustPoll(t, old)
	oldPeer := old.Active.Snapshot().Encode()
	mustApply(t, table, classDocument("one", "2s"))
	f := &config.Follower{Table: table, Active: &config.Active{}}
	mustPoll(t, f)

	table.SetFaults(infra.Faults{StaleReads: true})
	mustPoll(t, f)
	if err := f.ApplyPeerSnapshot(oldPeer); err != nil {
		t.Errorf("got %v from an outdated peer, want no error", err)
	}
	if got := totalTime(f.Active, "one"); got != 2*time.Second {
		t.Errorf("got a target of %v after stale reads, want 2s", got)
	}

	// A restarted instance gets only stale reads. The version that it received by
	// gossip keeps it from being ready with the old version.
	restarted := &config.Follower{Table: table, Active: &config.Active{}}
	restarted.NotifyVersion(2)
	_ = restarted.Poll(t.Context())
	if restarted.Ready() {
		t.Errorf("got ready at version %d, want not before version 2", restarted.Version())
	}
	table.SetFaults(infra.Faults{})
	mustPoll(t, restarted)
	if got := totalTime(restarted.Active, "one"); got != 2*time.Second || !restarted.Ready() {
		t.Errorf("got %v, ready %v, want 2s and ready", got, restarted.Ready())
	}
}

func mustPoll(t *testing.T, f *config.Follower) {
	t.Helper()
	if err := f.Poll(t.Context()); err != nil {
		t.Fatal(err)
	}
}

// laggingTable returns one row in scans as it was before its last change, as a replica
// does that lags for some rows only.
type laggingTable struct {
	*infra.Table
	stale store.Row
}

func (m *laggingTable) Scan(ctx context.Context, prefix string, since uint64, limit int) ([]store.Row, error) {
	rows, err := m.Table.Scan(ctx, prefix, since, limit)
	for i := range rows {
		if rows[i].Key() == m.stale.Key() {
			rows[i] = m.stale
		}
	}
	return rows, err
}

// A lagging replica returns the new head with an old row. Together they would be a
// configuration that was never accepted. The digest detects this.
func TestInconsistentRowsAreRejected(t *testing.T) {
	table := &infra.Table{}
	mustApply(t, table, classDocument("one", "1s"))
	before, err := table.Get(t.Context(), "conf/class/one")
	if err != nil {
		t.Fatal(err)
	}
	f := &config.Follower{Table: table, Active: &config.Active{}}
	mustPoll(t, f)
	mustApply(t, table, append(classDocument("one", "2s"), classDocument("two", "2s")...))
	f.Table = &laggingTable{Table: table, stale: before}
	if err := f.Poll(t.Context()); !errors.Is(err, config.ErrBadRows) {
		t.Errorf("got %v for inconsistent rows, want ErrBadRows", err)
	}
	if got := f.Version(); got != 1 {
		t.Errorf("got version %d, want still 1", got)
	}
	f.Table = table
	mustPoll(t, f)
	if got := totalTime(f.Active, "one"); got != 2*time.Second || f.Version() != 2 {
		t.Errorf("got %v at version %d, want 2s at 2", got, f.Version())
	}
}

// fixedPeers is a Peers that returns fixed snapshots.
type fixedPeers [][]byte

func (p fixedPeers) Snapshots(context.Context) ([][]byte, error) { return p, nil }

// An instance joins while the table is down. It starts from the newest snapshot of its
// peers; an instance without peers is not ready. When the table is back, the instance
// reads only the rows that changed since.
func TestStartsFromPeersDuringOutage(t *testing.T) {
	table := &infra.Table{}
	first := &config.Follower{Table: table, Active: &config.Active{}}
	var snaps fixedPeers
	for _, w := range []string{"1s", "2s", "3s"} {
		mustApply(t, table, classDocument("one", w))
		mustPoll(t, first)
		snaps = append(snaps, first.Active.Snapshot().Encode())
	}
	snaps[1], snaps[2] = snaps[2], snaps[1]
	table.SetFaults(infra.Faults{Unavailable: true})
	alone := &config.Follower{Table: table, Active: &config.Active{}}
	if err := alone.Poll(t.Context()); !errors.Is(err, config.ErrStoreUnavailable) || alone.Ready() {
		t.Errorf("got %v and ready %v without table and peers, want ErrStoreUnavailable and not ready", err, alone.Ready())
	}
	seen := []uint64{}
	joined := &config.Follower{Table: table, Active: &config.Active{}, Peers: snaps, OnChange: func(s *config.Snapshot) { seen = append(seen, s.Version()) }}
	_ = joined.Poll(t.Context())
	if joined.Version() != 3 || !joined.Ready() || len(seen) != 2 {
		t.Errorf("got version %d, ready %v, changes %v; want 3 after 1", joined.Version(), joined.Ready(), seen)
	}
	table.SetFaults(infra.Faults{})
	mustApply(t, table, classDocument("two", "1s"))
	readsBefore, _ := table.Counts()
	mustPoll(t, joined)
	readsAfter, _ := table.Counts()
	if got := readsAfter - readsBefore; joined.Version() != 4 || got != 2 {
		t.Errorf("got version %d with %d reads, want 4 with 2", joined.Version(), got)
	}
}

// A document with 1,200 teams is one commit that is larger than a page of a scan. No
// follower misses a row at the end of a page.
func TestLargeChangeIsReadCompletely(t *testing.T) {
	table := &infra.Table{}
	var b strings.Builder
	for i := range 1200 {
		name := strings.Repeat("x", 1+i%50) + string(rune('a'+i/50))
		b.WriteString("[team " + name + "]\nkey-hash=" + hashOf(name) + "\n")
	}
	mustApply(t, table, classDocument("one", "1s"))
	mustApply(t, table, document(b.String()))
	f := &config.Follower{Table: table, Active: &config.Active{}}
	mustPoll(t, f)
	if got := len(f.Active.Snapshot().Teams()); got != 1200 {
		t.Errorf("got %d teams, want 1200", got)
	}
}

func hashOf(key string) string { return string(config.HashKey(key)) }

// Snapshots from peers are untrusted input: any bytes give an error or a consistent
// snapshot.
func FuzzDecodeSnapshot(f *testing.F) {
	table := &infra.Table{}
	a := &config.Applier{Table: table}
	if _, err := a.Apply(f.Context(), config.Change{Documents: classDocument("one", "1s")}); err != nil {
		f.Fatal(err)
	}
	s, err := a.ReadSnapshot(f.Context())
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

// Documents are untrusted input too: the text of an accepted document is accepted
// again and changes nothing.
func FuzzDocument(f *testing.F) {
	f.Add("[class a]\nkind=model\nmodel=m\nfirst=1s\npercent=99.5\n")
	f.Add("[team a]\nkey-hash=" + testKeyHash + "\nshare=2\n[class b]\nkind=plain\nservice=s\nwhole=1h\nteams=a\n")
	f.Fuzz(func(t *testing.T, text string) {
		a := &config.Applier{Table: &infra.Table{}}
		v, err := a.Apply(context.Background(), config.Change{Documents: document(text)})
		if err != nil || v == 0 {
			return
		}
		s, err := a.ReadSnapshot(context.Background())
		if err != nil {
			t.Fatal(err)
		}
		if again, err := a.Apply(context.Background(), config.Change{Documents: document(s.Text())}); err != nil || again != v {
			t.Errorf("got %d %v for the snapshot text of %q, want version %d:\n%s", again, err, text, v, s.Text())
		}
	})
}
