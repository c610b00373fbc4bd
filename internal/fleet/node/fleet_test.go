package node_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"fulmarwick/internal/base/news"
	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/fleet/node"
)

// tickInterval is the step of the virtual time.
const tickInterval = 20 * time.Millisecond

// fleet simulates many instances in virtual time and carries the messages
// between them.
type fleet struct {
	t          testing.TB
	now        time.Duration
	rand       *rand.Rand
	instances  []*instance
	index      map[spec.InstanceID]*instance
	deliveries map[time.Duration][]delivery
	// loss is the share of messages lost. linkDown drops all messages for
	// which it returns true.
	loss     float64
	linkDown func(from, to *instance) bool
	// keepsConnections is whether the connections of dead instances stay
	// open.
	keepsConnections bool
	// maxDelay is the longest delay of a message within a data centre,
	// maxRemoteDelay the longest between data centres.
	maxDelay, maxRemoteDelay time.Duration
	// idleInterval is the time between two ticks without an event.
	idleInterval time.Duration
	engines      map[spec.DataCentre][]spec.UpstreamID
	duties       []node.DutySpec
}

type delivery struct {
	from  spec.InstanceID
	to    *instance
	start int
	data  []byte
}

// instance is one simulated instance with its logic and the state from the
// commands of the logic.
type instance struct {
	self   node.Peer
	logic  *node.Logic
	events []node.Event
	// up is false for an instance that died. It stays true while the
	// instance is paused.
	up, paused  bool
	starts      int
	readyAt     time.Duration
	watch       node.Watch
	duty        map[string]bool
	receivedAt  map[string]time.Duration
	expiredAt   map[spec.InstanceID]time.Duration
	expiryCount int
	teamRates   map[spec.TeamID]float64
	loads       map[spec.UpstreamID]node.PeerEngineLoad
	members     []node.Peer
	handedOver  bool
	left        bool
	// Traffic in both directions, and the processor time of the logic.
	bytesSent, bytesReceived       int
	messagesSent, messagesReceived int
	cpuTime                        time.Duration
	startTime                      uint32
	recording                      *recording
}

// recording holds the events given to the logic of an instance and the
// commands it returned.
type recording struct {
	ticks []recordedTick
}

type recordedTick struct {
	now      time.Duration
	events   []node.Event
	commands []node.Command
}

// newFleet creates n instances spread over the data centres. The discovery
// list of each contains all of them.
func newFleet(t testing.TB, n, centres, engines int) *fleet {
	f := &fleet{
		t: t, rand: rand.New(rand.NewPCG(1, 2)), index: map[spec.InstanceID]*instance{},
		deliveries: map[time.Duration][]delivery{}, maxDelay: 2 * tickInterval, maxRemoteDelay: 5 * tickInterval, idleInterval: 5 * tickInterval,
		engines: map[spec.DataCentre][]spec.UpstreamID{},
	}
	for c := range centres {
		dc := centreName(c)
		for e := range engines {
			f.engines[dc] = append(f.engines[dc], spec.UpstreamID(fmt.Sprintf("%s-e%02d", dc, e)))
		}
	}
	for i := range n {
		f.add(i, centreName(i%centres))
	}
	for _, x := range f.instances {
		f.start(x)
	}
	return f
}

func centreName(i int) spec.DataCentre { return spec.DataCentre(fmt.Sprintf("dc-%d", i)) }

func (f *fleet) add(i int, dc spec.DataCentre) *instance {
	id := spec.InstanceID(fmt.Sprintf("%s-i%03d", dc, i))
	x := &instance{self: node.Peer{ID: id, DataCentre: dc, URL: "wss://10.0.0.1:7000/" + string(id)}}
	f.instances = append(f.instances, x)
	f.index[id] = x
	return x
}

// start starts an instance that knows only the discovery list.
func (f *fleet) start(x *instance) {
	x.starts++
	x.up, x.paused, x.handedOver, x.left, x.readyAt = true, false, false, false, 0
	x.watch = node.Watch{}
	x.duty = map[string]bool{}
	x.receivedAt = map[string]time.Duration{}
	x.expiredAt = map[spec.InstanceID]time.Duration{}
	x.teamRates = map[spec.TeamID]float64{}
	x.loads = map[spec.UpstreamID]node.PeerEngineLoad{}
	x.startTime = uint32(1000 + f.now/time.Second + time.Duration(x.starts))
	x.logic = &node.Logic{
		Local: x.self, StartTime: x.startTime,
		Rand: rand.New(rand.NewPCG(uint64(slices.Index(f.instances, x)), uint64(x.starts))),
	}
	var peers []node.Peer
	for _, p := range f.instances {
		peers = append(peers, p.self)
	}
	x.events = []node.Event{
		node.DiscoveryList{Peers: peers, Engines: f.engines[x.self.DataCentre]},
		node.SetDuties{Duties: f.duties},
	}
}

func (f *fleet) kill(x *instance) {
	x.up = false
	x.watch, x.duty = node.Watch{}, map[string]bool{}
}

// run advances the virtual time by d.
func (f *fleet) run(d time.Duration) {
	for end := f.now + d; f.now < end; {
		f.now += tickInterval
		for _, m := range f.deliveries[f.now] {
			if m.to.up && m.to.starts == m.start {
				m.to.messagesReceived++
				m.to.bytesReceived += len(m.data) + 70
				m.to.events = append(m.to.events, node.Received{From: m.from, Data: m.data})
			}
		}
		delete(f.deliveries, f.now)
		for i, x := range f.instances {
			due := (f.now/tickInterval+time.Duration(i))%(f.idleInterval/tickInterval) == 0
			if x.up && !x.paused && (due || len(x.events) > 0) {
				f.tick(x)
			}
		}
	}
}

// runUntil runs until ok returns true, for at most d, and returns how long it
// took.
func (f *fleet) runUntil(d time.Duration, what string, ok func() bool) time.Duration {
	f.t.Helper()
	for begin := f.now; f.now < begin+d; {
		if ok() {
			return f.now - begin
		}
		f.run(tickInterval)
	}
	f.t.Fatalf("got no %s within %v of virtual time", what, d)
	return 0
}

func (f *fleet) tick(x *instance) {
	events := x.events
	x.events = nil
	begin := time.Now()
	commands := x.logic.Tick(f.now, events)
	x.cpuTime += time.Since(begin)
	if x.recording != nil {
		x.recording.ticks = append(x.recording.ticks, recordedTick{now: f.now, events: events, commands: commands})
	}
	for _, c := range commands {
		f.handleCommand(x, c)
	}
}

func (f *fleet) handleCommand(x *instance, c node.Command) {
	switch c := c.(type) {
	case node.Send:
		f.send(x, c)
	case node.Deliver:
		if k := itemLabel(c.Item); x.receivedAt[k] == 0 {
			x.receivedAt[k] = f.now
		}
	case node.ExpirePeer:
		x.expiredAt[c.Peer] = f.now
		x.expiryCount++
	case node.Watch:
		x.watch = c
	case node.Duty:
		x.duty[c.Name] = c.Assigned
	case node.Ready:
		x.readyAt = f.now
	case node.TeamUsage:
		x.teamRates[c.Team] = c.Rate
	case node.PeerEngineLoad:
		x.loads[c.Engine] = c
	case node.Members:
		x.members = c.Peers
	case node.HandedOver:
		x.handedOver = true
	case node.Left:
		x.left = true
	}
}

func itemLabel(i news.Item) string { return fmt.Sprintf("%v/%s/%x", i.Kind, i.Key, i.Body) }

func (f *fleet) send(x *instance, c node.Send) {
	x.messagesSent++
	x.bytesSent += len(c.Data) + 70
	to := f.index[c.To]
	if to == nil || f.linkDown != nil && f.linkDown(x, to) || f.rand.Float64() < f.loss {
		return
	}
	if !to.up && f.keepsConnections {
		return
	}
	if !to.up {
		x.events = append(x.events, node.ConnectionLost{Peer: c.To})
		return
	}
	delay := f.maxDelay
	if to.self.DataCentre != x.self.DataCentre {
		delay = f.maxRemoteDelay
	}
	at := f.now + tickInterval*time.Duration(1+f.rand.IntN(int(delay/tickInterval)))
	f.deliveries[at] = append(f.deliveries[at], delivery{from: x.self.ID, to: to, start: to.starts, data: c.Data})
}
