package daemon

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/fleet/node"
	"fulmarwick/internal/route/domain"
	"fulmarwick/internal/wire/peer"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxSnapshots is the maximum number of peers whose configuration is
	// fetched.
	maxSnapshots = 3
	// exitedAfter is how long an instance must be missing from the members
	// before it counts as ended, for the records that it left in state running.
	exitedAfter = 10 * time.Second
	// leaveTimeout bounds the wait until the peers have received the leave
	// message.
	leaveTimeout = 2 * time.Second
	// jobsInterval is the time between two checks for forwarded requests during
	// a stop.
	jobsInterval = 20 * time.Millisecond
)

// fleet connects this instance to its peers.
type fleet struct {
	*Daemon
	hub    *peer.Hub
	logic  *node.Logic
	duties *duties

	mu      sync.Mutex
	members []node.Peer
	// lastSeen is when an instance was last among the members.
	lastSeen  map[spec.InstanceID]time.Time
	startTime time.Time
	ready     bool
	done      chan struct{}
	watches   chan node.Watch
}

// newFleet creates the connection to the peers. It returns nil for an instance
// without peers.
func (d *Daemon) newFleet() (*fleet, error) {
	if d.Peers == nil && d.Settings.Listen.Peers == "" {
		return nil, nil
	}
	f := &fleet{
		Daemon: d, lastSeen: map[spec.InstanceID]time.Time{}, startTime: time.Now(),
		done: make(chan struct{}), watches: make(chan node.Watch, 1),
	}
	name := d.Settings.Instance.Name
	self := node.Peer{ID: spec.InstanceID(name), DataCentre: spec.DataCentre(d.localSpan())}
	f.logic = &node.Logic{
		Local: self, StartTime: uint32(f.startTime.Unix()),
		Rand: rand.New(rand.NewPCG(xxhash.Sum64String(name), uint64(f.startTime.UnixNano()))),
	}
	f.hub = &peer.Hub{
		Self: self, Logic: f.logic, HandleCommand: f.handleCommand, JobServer: &forwardServer{d}, Config: f, Log: d.Log, Meters: d.parts.metrics,
	}
	if pair := d.Settings.TLS.Peers; pair.Set() {
		source, err := d.certSource(pair)
		if err != nil {
			return nil, err
		}
		f.hub.TLS = source.Peer()
	}
	return f, nil
}

// Snapshot returns the encoded active configuration, for an instance that
// joins.
func (f *fleet) Snapshot() []byte {
	if current := f.parts.active.Snapshot(); current != nil {
		return current.Encode()
	}
	return nil
}

// Snapshots fetches the configurations of a few peers. It skips peers that fail
// to answer.
func (f *fleet) Snapshots(ctx context.Context) ([][]byte, error) {
	var out [][]byte
	for _, p := range f.peers() {
		data, err := f.hub.Snapshot(ctx, p.ID)
		if err != nil {
			continue
		}
		out = append(out, data)
		if len(out) >= maxSnapshots {
			break
		}
	}
	return out, nil
}

// handleCommand executes a command of the fleet logic. It runs on the hub's
// goroutine and must not block.
func (f *fleet) handleCommand(c node.Command) {
	loop := f.parts.loop
	switch c := c.(type) {
	case node.Deliver:
		f.handleItem(c.Item)
	case node.PeerEngineLoad:
		loop.Post(domain.PeerLoad{Engine: c.Engine, Active: c.Active, LayerTokenRate: c.Tokens})
	case node.TeamUsage:
		loop.Post(domain.TeamUsage{Team: c.Team, Rate: c.Rate})
	case node.ExpirePeer:
		loop.Post(domain.PeerRemoved{Peer: c.Peer})
	case node.Members:
		f.setMembers(c.Peers)
	case node.Watch:
		f.queueWatch(c)
	case node.Duty:
		f.duties.set(c.Name, c.Assigned)
	case node.Ready:
		f.mu.Lock()
		f.ready = true
		f.mu.Unlock()
		f.Log.Info("fleet: caught up with the others")
	case node.Left:
		close(f.done)
	}
}

// queueWatch passes the newest assignment to the goroutine of followWatches and
// replaces one that is still queued. The hub must not wait for the watcher,
// which may be busy updating its table.
func (f *fleet) queueWatch(c node.Watch) {
	select {
	case <-f.watches:
	default:
	}
	f.watches <- c
}

func (f *fleet) followWatches(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case c := <-f.watches:
			f.parts.watcher.Assign(c)
		}
	}
}

func (f *fleet) isReady() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ready
}

func (f *fleet) scheme() string {
	if f.Settings.TLS.Peers.Set() {
		return "https://"
	}
	return "http://"
}

// announceStop notifies the fleet logic as soon as the stop begins, so that
// duties and watches move to other instances while requests end.
func (f *fleet) announceStop(ctx context.Context) error {
	select {
	case <-ctx.Done():
	case <-f.parts.drainer.Begun():
		f.hub.Post(node.Stop{})
	}
	return nil
}

// leave sends the leave message to the peers after all forwarded requests and
// duties here have ended.
func (f *fleet) leave(ctx context.Context) {
	for f.hub.Jobs() > 0 && ctx.Err() == nil {
		time.Sleep(jobsInterval)
	}
	f.duties.stop()
	f.hub.Post(node.Leave{})
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	select {
	case <-f.done:
	case <-ctx.Done():
	}
}

// handler returns the handler for requests of other instances.
func (f *fleet) handler() http.Handler { return f.hub.Handler() }
