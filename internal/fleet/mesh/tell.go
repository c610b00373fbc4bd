package mesh

import (
	"maps"
	"slices"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/fleet/node"
	"fulmarwick/internal/fleet/rank"
	"fulmarwick/internal/state/feed"

	"github.com/fxamacker/cbor/v2"
)

func (l *Logic) tell(now time.Duration) []node.Command {
	dead, crashes := l.Self.Fresh()
	marks := l.Self.Marks()
	m := Message{
		URL: l.URL, Uses: l.Self.Uses(), Versions: map[string]uint64{}, Digests: map[string]uint64{}, Age: l.Self.Age().Milliseconds(),
		Dead: dead, Crashes: crashes, Paces: l.Self.Paces(),
	}
	for name, mark := range marks {
		m.Versions[name], m.Digests[name] = mark.Version, mark.Digest
	}
	plain, err := cbor.Marshal(m)
	if err != nil {
		// The message has no field that can fail to encode.
		panic(err)
	}
	var out []node.Command
	for _, p := range l.sorted() {
		if p.url == "" {
			continue
		}
		data := plain
		if m.Tables = l.lacking(now, p, marks); len(m.Tables) > 0 {
			if data, err = cbor.Marshal(m); err != nil {
				panic(err)
			}
		}
		out = append(out, node.Send{To: p.id, URL: p.url, Data: data})
	}
	return out
}

// lacking is what another instance does not know yet and this one is to tell.
func (l *Logic) lacking(now time.Duration, p *peer, marks map[string]feed.Mark) []Table {
	if !p.alive || p.marks == nil || !l.teller(p) {
		return nil
	}
	var out []Table
	for _, name := range names(marks) {
		if t, ok := l.table(now, p, name, marks[name]); ok {
			out = append(out, t)
		}
	}
	return out
}

// table is what another instance is to be told of a table; false for nothing.
func (l *Logic) table(now time.Duration, p *peer, name string, mine feed.Mark) (Table, bool) {
	theirs := p.marks[name]
	told := p.told[name]
	if theirs.Digest == mine.Digest || theirs.Version >= mine.Version {
		return Table{}, false
	}
	since := theirs.Version
	switch {
	case now-told.at < tellAgain:
		since = max(since, told.version)
	case since < told.version:
		// It does not show what it was told: a change that was undone before this
		// instance looked is not among the changes, and only the whole table helps.
		since = 0
	}
	if since >= mine.Version {
		return Table{}, false
	}
	since, page := l.Self.Since(name, since)
	if len(page.Rows) == 0 {
		return Table{}, false
	}
	p.told[name] = telling{version: page.Version, at: now}
	return Table{Name: name, Since: since, Version: page.Version, Rows: page.Rows, Digest: mine.Digest}, true
}

func names(marks map[string]feed.Mark) []string { return slices.Sorted(maps.Keys(marks)) }

// teller reports whether this instance is one of those that tell p.
func (l *Logic) teller(p *peer) bool {
	ids := []spec.InstanceID{l.ID}
	for _, other := range l.peers {
		if other.alive && other.id != p.id {
			ids = append(ids, other.id)
		}
	}
	for _, id := range rank.Top(string(p.id), ids, tellers) {
		if id == l.ID {
			return true
		}
	}
	return false
}
