package daemon

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"fulmarwick/internal/base/frame"
	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/fleet/node"
	"fulmarwick/internal/route/world"
	"fulmarwick/internal/state/store"
	"fulmarwick/internal/wire/admin"
	"fulmarwick/internal/wire/certs"
	"fulmarwick/internal/wire/peer"

	"github.com/cespare/xxhash/v2"
)

const (
	// snapshotsFrom is how many peers are asked for a configuration at most.
	snapshotsFrom = 3
	// goneAfter is how long an instance must be out of the members before it
	// counts as ended for the records that it left at running.
	goneAfter = 30 * time.Second
	// quitTime bounds the wait for the others to hear of the end.
	quitTime = 2 * time.Second
	// jobsLook is the time between two looks at forwarded requests at a stop.
	jobsLook = 20 * time.Millisecond
)

// fleet is this instance's part among the others.
type fleet struct {
	*Daemon
	hub    *peer.Hub
	logic  *node.Logic
	duties *duties

	mu      sync.Mutex
	members []node.Peer
	// left is when an instance was last among the members.
	left    map[spec.InstanceID]time.Time
	began   time.Time
	ready   bool
	done    chan struct{}
	watches chan node.Watch
}

// newFleet builds the part; nil for an instance that stands alone.
func (d *Daemon) newFleet() (*fleet, error) {
	if d.Peers == nil && d.Settings.Listen.Peers == "" {
		return nil, nil
	}
	f := &fleet{
		Daemon: d, left: map[spec.InstanceID]time.Time{}, began: time.Now(),
		done: make(chan struct{}), watches: make(chan node.Watch, 1),
	}
	name := d.Settings.Instance.Name
	self := node.Peer{ID: spec.InstanceID(name), DataCentre: spec.DataCentre(d.unit())}
	f.logic = &node.Logic{
		Self: self, Born: uint32(f.began.Unix()),
		Rand: rand.New(rand.NewPCG(xxhash.Sum64String(name), uint64(f.began.UnixNano()))),
	}
	f.hub = &peer.Hub{
		Self: self, Logic: f.logic, On: f.on, Serve: &server{d}, Config: f, Log: d.Log, Meters: d.parts.meters,
	}
	if pair := d.Settings.TLS.Peers; pair.Set() {
		source := &certs.Source{Cert: pair.Cert, Key: pair.Key, CA: pair.CA, Log: d.Log}
		if err := source.Open(); err != nil {
			return nil, err
		}
		f.hub.TLS = source.Peer()
	}
	return f, nil
}

// Snapshot is the configuration in force, for an instance that joins.
func (f *fleet) Snapshot() []byte {
	if now := f.parts.book.Now(); now != nil {
		return now.Encode()
	}
	return nil
}

// Snapshots asks a few peers for theirs.
func (f *fleet) Snapshots(ctx context.Context) ([][]byte, error) {
	var out [][]byte
	for _, p := range f.peers() {
		data, err := f.hub.Snapshot(ctx, p.ID)
		if err != nil {
			continue
		}
		out = append(out, data)
		if len(out) >= snapshotsFrom {
			break
		}
	}
	return out, nil
}

func (f *fleet) peers() []node.Peer {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.members)
}

// near are the peers that share the detail of engines.
func (f *fleet) near(peers []node.Peer) []spec.InstanceID {
	var out []spec.InstanceID
	for _, p := range peers {
		if string(p.DataCentre) == f.unit() {
			out = append(out, p.ID)
		}
	}
	return out
}

// on takes a command of the fleet logic. It runs on the hub's goroutine and
// must not block.
func (f *fleet) on(c node.Command) {
	loop := f.parts.loop
	switch c := c.(type) {
	case node.Deliver:
		f.deliver(c.Item)
	case node.EngineLoad:
		loop.Post(world.PeerLoad{Engine: c.Engine, Active: c.Active, Tokens: c.Tokens})
	case node.TeamUse:
		loop.Post(world.TeamUsed{Team: c.Team, Rate: c.Rate})
	case node.Expire:
		loop.Post(world.PeerGone{Peer: c.Peer})
	case node.Members:
		f.met(c.Peers)
	case node.Watch:
		f.watch(c)
	case node.Duty:
		f.duties.set(c.Name, c.Mine)
	case node.Ready:
		f.mu.Lock()
		f.ready = true
		f.mu.Unlock()
		f.Log.Info("fleet: caught up with the others")
	case node.Done:
		close(f.done)
	}
}

// watch hands the newest assignment to the goroutine that follows it; the
// watcher may be busy with its table and the hub must not wait.
func (f *fleet) watch(c node.Watch) {
	select {
	case <-f.watches:
	default:
	}
	f.watches <- c
}

func (f *fleet) follow(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case c := <-f.watches:
			f.parts.watcher.Assign(c)
		}
	}
}

func (f *fleet) met(peers []node.Peer) {
	f.mu.Lock()
	now := time.Now()
	for _, p := range f.members {
		f.left[p.ID] = now
	}
	f.members = peers
	for _, p := range peers {
		delete(f.left, p.ID)
	}
	f.mu.Unlock()
	f.parts.budget.SetLive(1 + len(peers))
	f.parts.loop.Post(world.PeersSet{Peers: f.near(peers)})
}

// gone reports whether an instance is out of the members for so long that it
// will not bring its records to their end. If it only pauses, its caller may
// be told unsure before the end, which is true at that time.
func (f *fleet) gone(id spec.InstanceID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if string(id) == f.Settings.Instance.Name {
		return false
	}
	if slices.ContainsFunc(f.members, func(p node.Peer) bool { return p.ID == id }) {
		return false
	}
	since, ok := f.left[id]
	if !ok {
		since = f.began
	}
	return time.Since(since) > goneAfter
}

func (f *fleet) isReady() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ready
}

// listed tells the fleet logic who should be there.
func (f *fleet) listed(list []store.ListedBody) {
	var ev node.Listed
	for _, p := range f.Settings.Peers {
		ev.Peers = append(ev.Peers, node.Peer{ID: spec.InstanceID(p.Name), URL: f.scheme() + p.Address})
	}
	for _, l := range list {
		switch l.Role {
		case store.RoleEntry:
			ev.Peers = f.addPeer(ev.Peers, l)
		case store.RoleEngine:
			if f.unitOf(l.DataCentre) == f.unit() {
				ev.Engines = append(ev.Engines, spec.UpstreamID(l.ID))
			}
		}
	}
	ev.Peers = slices.DeleteFunc(ev.Peers, func(p node.Peer) bool {
		return string(p.ID) == f.Settings.Instance.Name
	})
	f.hub.Post(ev)
}

// addPeer adds an instance of the platform's list, which knows more than the
// settings.
func (f *fleet) addPeer(peers []node.Peer, l store.ListedBody) []node.Peer {
	p := node.Peer{ID: spec.InstanceID(l.ID), DataCentre: spec.DataCentre(f.unitOf(l.DataCentre)), URL: l.URL}
	p.Passive = l.State == frame.StateLeaving
	for i := range peers {
		if peers[i].ID == p.ID {
			peers[i] = p
			return peers
		}
	}
	return append(peers, p)
}

func (f *fleet) scheme() string {
	if f.Settings.TLS.Peers.Set() {
		return "https://"
	}
	return "http://"
}

// leaving tells the fleet logic of the stop as soon as it begins, so that
// duties and watches pass on while requests end.
func (f *fleet) leaving(ctx context.Context) error {
	select {
	case <-ctx.Done():
	case <-f.parts.halt.Begun():
		f.hub.Post(node.Stop{})
	}
	return nil
}

// instances are the others, for operators. Only the highest version heard of
// is known, not that of each.
func (f *fleet) instances() []admin.Instance {
	out := []admin.Instance{}
	for _, p := range f.peers() {
		state := frame.StateLive
		if p.Passive {
			state = frame.StateLeaving
		}
		out = append(out, admin.Instance{Name: string(p.ID), DataCentre: string(p.DataCentre), State: state})
	}
	return out
}

// quit tells the others of the end, once nothing is in progress here.
func (f *fleet) quit(ctx context.Context) {
	for f.hub.Jobs() > 0 && ctx.Err() == nil {
		time.Sleep(jobsLook)
	}
	f.duties.stop()
	f.hub.Post(node.Quit{})
	ctx, cancel := context.WithTimeout(ctx, quitTime)
	defer cancel()
	select {
	case <-f.done:
	case <-ctx.Done():
	}
}

// handler serves other instances.
func (f *fleet) handler() http.Handler { return f.hub.Handler() }
