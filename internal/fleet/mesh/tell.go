package mesh

import (
	"sort"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/fleet/node"
	"fulmarwick/internal/fleet/rank"

	"github.com/fxamacker/cbor/v2"
)

func (l *Logic) tell(now time.Duration) []node.Command {
	dead, crashes := l.Self.Fresh()
	m := Message{
		URL: l.URL, Uses: l.Self.Uses(), Versions: l.Self.Versions(), Age: l.Self.Age().Milliseconds(),
		Dead: dead, Crashes: crashes, Paces: l.Self.Paces(),
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
		if m.Tables = l.lacking(now, p, m.Versions); len(m.Tables) > 0 {
			if data, err = cbor.Marshal(m); err != nil {
				panic(err)
			}
		}
		out = append(out, node.Send{To: p.id, URL: p.url, Data: data})
	}
	return out
}

// lacking is what another instance does not know yet and this one is to tell.
func (l *Logic) lacking(now time.Duration, p *peer, versions map[string]uint64) []Table {
	if !p.alive || p.versions == nil || !l.teller(p) {
		return nil
	}
	var out []Table
	for _, name := range names(versions) {
		since := p.versions[name]
		if told := p.told[name]; now-told.at < tellAgain {
			since = max(since, told.version)
		}
		if since >= versions[name] {
			continue
		}
		since, page := l.Self.Since(name, since)
		if len(page.Rows) == 0 {
			continue
		}
		p.told[name] = telling{version: page.Version, at: now}
		out = append(out, Table{Name: name, Since: since, Version: page.Version, Rows: page.Rows})
	}
	return out
}

func names(versions map[string]uint64) []string {
	out := make([]string, 0, len(versions))
	for name := range versions {
		out = append(out, name)
	}
	sort.Strings(out)
	return out
}

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
