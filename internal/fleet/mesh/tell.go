package mesh

import (
	"time"

	"fulmarwick/internal/fleet/node"

	"github.com/fxamacker/cbor/v2"
)

// tell is a message to each other instance, with what it lacks.
func (l *Logic) tell(now time.Duration) []node.Command {
	m := l.message()
	m.Dead, m.Crashes = l.Self.Fresh()
	plain := encode(m)
	tables := l.spread(now, l.Self.Marks())
	var out []node.Command
	for _, p := range l.sorted() {
		if p.url == "" {
			continue
		}
		data := plain
		switch m.Tables = tables[p.id]; {
		case p.former:
			data = encode(m.blind())
		case len(m.Tables) > 0:
			data = encode(m)
		}
		out = append(out, node.Send{To: p.id, URL: p.url, Data: data})
	}
	return out
}

// pass tells those that this instance was asked to tell, before the next beat.
func (l *Logic) pass(now time.Duration) []node.Command {
	m := l.message()
	var out []node.Command
	for id, tables := range l.spread(now, l.Self.Marks()) {
		m.Tables = tables
		out = append(out, node.Send{To: id, URL: l.peers[id].url, Data: encode(m)})
	}
	return out
}

// message is what all are told, without what is told once.
func (l *Logic) message() Message {
	m := Message{
		URL: l.URL, Uses: l.Self.Uses(), Versions: map[string]uint64{}, Digests: map[string]uint64{},
		Age: l.Self.Age().Milliseconds(), Paces: l.Self.Paces(),
	}
	for name, mark := range l.Self.Marks() {
		m.Versions[name], m.Digests[name] = mark.Version, mark.Digest
	}
	return m
}

// blind is the message for an instance that does not show what it holds: it is
// told nothing, so it must not leave reading to this one.
func (m Message) blind() Message {
	m.Age = -1
	return m
}

func encode(m Message) []byte {
	data, err := cbor.Marshal(m)
	if err != nil {
		// The message has no field that can fail to encode.
		panic(err)
	}
	return data
}
