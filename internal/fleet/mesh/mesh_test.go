package mesh_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/fleet/mesh"
	"fulmarwick/internal/fleet/node"
	"fulmarwick/internal/route/again"
	"fulmarwick/internal/route/crash"
	"fulmarwick/internal/route/path"
	"fulmarwick/internal/state/feed"

	"github.com/fxamacker/cbor/v2"
)

// member is one instance as the logic sees it.
type member struct {
	logic *mesh.Logic
	view  feed.View
	dead  []spec.UpstreamID

	used map[spec.InstanceID]int
	// streams is how many streams the last told loads have, by who they are of.
	streams map[spec.InstanceID]int
	// first is how many requests they sent for the first time.
	first map[spec.InstanceID]int
	met   map[spec.InstanceID]bool
	told  int
	from  []spec.InstanceID

	// news tells that the store brought a change; polled is the last read and
	// readAt the same for what is told of it, zero for none.
	news           map[string]uint64
	polled, readAt time.Duration
	fleet          *fleet
}

const table = "t"

// tick is the pause between two ticks of the logic.
const tick = 50 * time.Millisecond

func (m *member) Urgent() bool { return len(m.dead) > 0 }
func (m *member) News() map[string]uint64 {
	news := m.news
	m.news = nil
	return news
}

func (m *member) Uses() map[string]map[spec.UpstreamID]path.Use {
	engines := map[spec.UpstreamID]path.Use{"e": {Streams: 1}}
	for k := range m.fleet.engines {
		// Each uses some engines, all together use all.
		if at := (k + len(m.logic.ID)*7 + int(m.logic.ID[len(m.logic.ID)-1])) % 20; at == 0 {
			engines[spec.UpstreamID(fmt.Sprintf("i-%010d", k))] = path.Use{Streams: 1 + k%5, Cells: 1000 * k, Unread: 500 * k, Spread: float64(k) / 3}
		}
	}
	return map[string]map[spec.UpstreamID]path.Use{"s": engines}
}

func (m *member) Marks() map[string]feed.Mark        { return map[string]feed.Mark{table: m.view.Mark()} }
func (m *member) Paces() map[spec.UpstreamID]float64 { return nil }
func (m *member) Age() time.Duration {
	if m.readAt == 0 {
		return -1
	}
	return m.fleet.now - m.readAt
}

func (m *member) Since(_ string, v uint64) (since uint64, p feed.Page) { return m.view.Since(v) }
func (m *member) Fresh() ([]spec.UpstreamID, []crash.Death) {
	dead := m.dead
	m.dead = nil
	return dead, nil
}

func (m *member) Used(from spec.InstanceID, uses map[string]map[spec.UpstreamID]path.Use) {
	m.used[from]++
	m.streams[from] = uses["s"]["e"].Streams
}

func (m *member) Repeats() map[string]again.Count {
	return map[string]again.Count{"s": {Of: 1, First: 2}}
}

func (m *member) Repeated(from spec.InstanceID, repeats map[string]again.Count) {
	m.first[from] = repeats["s"].First
}
func (m *member) Paced(spec.InstanceID, map[spec.UpstreamID]float64) {}
func (m *member) Told(_ string, since uint64, rows []feed.Row, mark feed.Mark, _ spec.InstanceID) {
	m.told++
	m.view.Told(since, rows, mark)
}
func (m *member) Known(_ string, mark feed.Mark)                 { m.view.Confirm(mark) }
func (m *member) Behind(string, uint64, uint64)                  {}
func (m *member) Dead(from spec.InstanceID, _ []spec.UpstreamID) { m.from = append(m.from, from) }
func (m *member) Crashed(spec.InstanceID, []crash.Death)         {}
func (m *member) Met(id spec.InstanceID)                         { m.met[id] = true }
func (m *member) Missed(id spec.InstanceID) {
	delete(m.met, id)
	delete(m.streams, id)
	delete(m.first, id)
}

// fleet is instances that tick together; lost and drop lose messages, and those
// that are silent do nothing.
type fleet struct {
	members map[spec.InstanceID]*member
	inbox   map[spec.InstanceID][]node.Event
	lost    func(from, to spec.InstanceID) bool
	drop    func(from, to spec.InstanceID, m mesh.Message) bool
	silent  map[spec.InstanceID]bool
	// only is the one member that the store answers, empty for all; it turns away
	// those that are refused.
	only    spec.InstanceID
	refused func(spec.InstanceID) bool
	now     time.Duration
	sent    int
	// sentBy and bytesBy are how many messages and bytes each member sent.
	sentBy, bytesBy map[spec.InstanceID]int
	// heardBy is how many bytes each member got from each other one.
	heardBy map[[2]spec.InstanceID]int
	// engines is how many engines they use together beside the one that all do.
	engines int
}

func open(n int) *fleet { return openNamed(n, "i") }

// openNamed opens a fleet of n members; their names begin with a prefix.
func openNamed(n int, prefix string) *fleet {
	f := &fleet{heardBy: map[[2]spec.InstanceID]int{}, members: map[spec.InstanceID]*member{}, inbox: map[spec.InstanceID][]node.Event{}, silent: map[spec.InstanceID]bool{}, sentBy: map[spec.InstanceID]int{}, bytesBy: map[spec.InstanceID]int{}}
	var peers []node.Peer
	for k := range n {
		id := spec.InstanceID(fmt.Sprintf("%s%d", prefix, k))
		f.members[id] = f.newMember(id)
		peers = append(peers, node.Peer{ID: id, DataCentre: f.members[id].logic.DataCentre, URL: "http://" + string(id)})
	}
	for id := range f.members {
		f.inbox[id] = []node.Event{node.Listed{Peers: peers}}
	}
	return f
}

// centres is how many data centres the members of a fleet are in.
const centres = 5

// centreOf is the data centre of a member, by the number that ends its name.
func centreOf(id spec.InstanceID) spec.DataCentre {
	n := int(id[len(id)-1]-'0') % centres
	return spec.DataCentre(fmt.Sprintf("dc%d", n))
}

// newMember is an instance that has just started.
func (f *fleet) newMember(id spec.InstanceID) *member {
	m := &member{used: map[spec.InstanceID]int{}, streams: map[spec.InstanceID]int{}, first: map[spec.InstanceID]int{}, met: map[spec.InstanceID]bool{}, fleet: f}
	clock := func() time.Time { return time.Unix(0, 0).Add(f.now) }
	m.logic = &mesh.Logic{ID: id, DataCentre: centreOf(id), URL: "http://" + string(id), Self: m, Taker: m, Now: clock}
	return m
}

// ids are the names of all members, in order.
func (f *fleet) ids() []spec.InstanceID { return slices.Sorted(maps.Keys(f.members)) }

// run ticks all members of the given span.
func (f *fleet) run(from, to time.Duration) {
	for now := from; now < to; now += tick {
		f.now = now
		f.step(now)
	}
}

// step ticks all members once. What they send arrives before the next tick of
// its receiver, in this step or the next one.
func (f *fleet) step(now time.Duration) {
	for _, id := range f.ids() {
		m := f.members[id]
		if f.silent[id] {
			continue
		}
		events := f.inbox[id]
		f.inbox[id] = nil
		for _, c := range m.logic.Tick(now, events) {
			s, ok := c.(node.Send)
			if !ok || f.lost != nil && f.lost(id, s.To) || f.members[s.To] == nil || f.dropped(id, s) {
				continue
			}
			f.sent++
			f.sentBy[id]++
			f.bytesBy[id] += len(s.Data)
			f.heardBy[[2]spec.InstanceID{s.To, id}] += len(s.Data)
			f.inbox[s.To] = append(f.inbox[s.To], node.Heard{From: id, Data: s.Data})
		}
	}
}

func (f *fleet) dropped(from spec.InstanceID, s node.Send) bool {
	if f.drop == nil {
		return false
	}
	var m mesh.Message
	if err := cbor.Unmarshal(s.Data, &m); err != nil {
		panic(err)
	}
	return f.drop(from, s.To, m)
}

// One instance reads a change, another cannot. It is told within a beat, once
// by each teller, and everybody counts everybody.
func TestChangeIsTold(t *testing.T) {
	f := open(5)
	f.run(0, time.Second)
	for id, m := range f.members {
		if got := m.logic.Count(); got != 5 || len(m.met) != 4 {
			t.Errorf("%s: got %d counted and %d met, want 5 and 4", id, got, len(m.met))
		}
	}
	page := feed.Page{Rows: []feed.Row{{Key: "k", Version: 7, Value: []byte("v")}}, Version: 7}
	for id, m := range f.members {
		if id != "i3" {
			m.view.Changes(0, page)
		}
	}
	f.run(time.Second, 2*time.Second)
	m := f.members["i3"]
	if m.view.Version() != 7 || m.told == 0 || m.told > 2 {
		t.Errorf("got version %d told %d times, want 7 told once or twice", m.view.Version(), m.told)
	}
}

// An engine is found dead between two beats: the others hear at the next tick.
func TestDeadEngineIsToldAtOnce(t *testing.T) {
	f := open(2)
	f.run(0, time.Second)
	f.members["i0"].dead = []spec.UpstreamID{"e"}
	f.run(time.Second, 1100*time.Millisecond)
	if got := f.members["i1"].from; len(got) != 1 {
		t.Errorf("got %v, want to hear of the dead engine within 100ms", got)
	}
}

// An instance falls silent. It counts no more for what engines carry after
// 1.5 s, but goes on counting for what all share until it surely serves nobody.
func TestSilentInstance(t *testing.T) {
	f := open(3)
	f.run(0, time.Second)
	f.lost = func(from, to spec.InstanceID) bool { return from == "i2" || to == "i2" }
	f.run(time.Second, 4*time.Second)
	m := f.members["i0"]
	if m.met["i2"] || m.logic.Count() != 3 {
		t.Errorf("got met %v and %d counted after 3s, want missed and 3", m.met["i2"], m.logic.Count())
	}
	f.run(4*time.Second, 20*time.Second)
	if got := m.logic.Count(); got != 2 {
		t.Errorf("got %d counted after 19s, want 2", got)
	}
}

// Each duty has one first instance, on which all that hear each other agree.
func TestOneFirstPlace(t *testing.T) {
	f := open(7)
	f.run(0, time.Second)
	for _, duty := range []string{"read", "plan", "x"} {
		first := 0
		for _, m := range f.members {
			if m.logic.Place(duty) == 0 {
				first++
			}
		}
		if first != 1 {
			t.Errorf("%s: got %d first places, want 1", duty, first)
		}
	}
}

// An instance restarts within a second while the store is away: it knows
// nothing, and the others have told its former process all. They tell it again
// soon, as they do if the message was lost.
func TestRestartedInstanceIsTold(t *testing.T) {
	for name, lost := range map[string]bool{"restarted": false, "message lost": true} {
		f := open(3)
		page := feed.Page{Rows: []feed.Row{{Key: "k", Version: 7, Value: []byte("v")}}, Version: 7}
		f.members["i0"].view.Changes(0, page)
		f.members["i1"].view.Changes(0, page)
		if lost {
			f.run(0, 100*time.Millisecond)
			f.lost = func(_, to spec.InstanceID) bool { return to == "i2" }
			f.run(100*time.Millisecond, 600*time.Millisecond)
			f.lost = nil
		} else {
			f.run(0, time.Second)
			f.members["i2"].view = feed.View{}
		}
		f.run(time.Second, 3*time.Second)
		if got := f.members["i2"].view.Version(); got != 7 {
			t.Errorf("%s: got version %d, want 7", name, got)
		}
	}
}
