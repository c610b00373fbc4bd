package edge

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/fleet/mesh"
	"fulmarwick/internal/fleet/node"
	"fulmarwick/internal/route/crash"
	"fulmarwick/internal/route/path"
	"fulmarwick/internal/route/resend"
	"fulmarwick/internal/state/feed"
	"fulmarwick/internal/state/store"
	"fulmarwick/internal/wire/peer"
	"fulmarwick/platform"

	"github.com/VictoriaMetrics/metrics"
	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"
	"go.uber.org/zap"
)

const (
	// meshIdleTimeout closes a connection to an instance that brings nothing: six
	// messages were due.
	meshIdleTimeout = 1200 * time.Millisecond
	// rosterTable holds a row for each instance, under its name.
	rosterTable = "instances"
	// rosterInterval is the pause between two reads of the roster while no other
	// instance is heard, rosterPause that after a failed call.
	rosterInterval   = 5 * time.Second
	rosterRetryDelay = 400 * time.Millisecond
)

// rosterRow tells where an instance answers others.
type rosterRow struct {
	URL        string          `cbor:"1,keyasint"`
	DataCentre spec.DataCentre `cbor:"2,keyasint,omitempty"`
}

// meshNode is the other instances: it tells them what this one knows and takes
// what they tell.
type meshNode struct {
	id     spec.InstanceID
	centre spec.DataCentre
	url    string
	store  *platform.Store
	state  *stateView
	router *router
	log    *zap.Logger
	dial   func(ctx context.Context, network, address string) (net.Conn, error)
	meters *metrics.Set
	// countBehind counts how often others knew more and did not tell it.
	countBehind func()
	// onReportedDead is told of engines that others found dead.
	onReportedDead func(id spec.UpstreamID)
	logic          *mesh.Logic
	hub            *peer.Hub

	// rosterWritten and listed tell that the own row of the roster was written and those
	// of the others were read after it; for enlist alone.
	rosterWritten bool
	rosterRead    bool

	mu             sync.Mutex
	unreportedDead []spec.UpstreamID
	livePeers      map[spec.InstanceID]bool
}

// initHub makes the connection parts.
func (c *meshNode) initHub() {
	c.livePeers = map[spec.InstanceID]bool{}
	c.logic = &mesh.Logic{ID: c.id, DataCentre: c.centre, URL: c.url, Local: c, Receiver: c, Now: time.Now}
	c.hub = &peer.Hub{Self: node.Peer{ID: c.id, URL: c.url}, Logic: c.logic, Silence: meshIdleTimeout, Dial: c.dial, Log: c.log, Meters: c.meters}
}

func (c *meshNode) handler() http.Handler { return c.hub.Handler() }

func (c *meshNode) run(ctx context.Context) {
	if err := c.hub.Run(ctx); err != nil {
		c.log.Error("edge: mesh ended", zap.Error(err))
	}
}

// maintainRoster writes the own row of the roster and finds the others by it. Those
// that come later find this instance.
func (c *meshNode) maintainRoster(ctx context.Context) {
	for ctx.Err() == nil {
		err := c.syncRoster(ctx)
		pause := rosterInterval
		if err != nil {
			c.log.Info("edge: roster not reached", zap.Error(err))
			pause = rosterRetryDelay
		}
		if !feed.Sleep(ctx, pause) {
			break
		}
	}
	if c.rosterWritten {
		c.removeRosterRow(context.WithoutCancel(ctx))
	}
}

// syncRoster writes the own row and then reads those of the others, once: of two
// instances the one that writes later finds the other. To be heard by one of them
// is not to know all; with none heard it looks again.
func (c *meshNode) syncRoster(ctx context.Context) error {
	if !c.rosterWritten {
		if err := c.writeRosterRow(ctx); err != nil {
			return err
		}
		c.rosterWritten = true
	}
	if c.rosterRead && c.hasPeers() {
		return nil
	}
	p, err := c.store.ReadTable(ctx, rosterTable)
	if err != nil {
		return err
	}
	c.hub.Post(node.DiscoveryList{Peers: c.decodeRoster(p)})
	c.rosterRead = true
	return nil
}

func (c *meshNode) hasPeers() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.livePeers) > 0
}

func (c *meshNode) rosterKey() string { return rosterTable + "/" + string(c.id) }

// writeRosterRow writes the own row. Most instances start for the first time, so that the row
// of a former process is looked for only if there is one.
func (c *meshNode) writeRosterRow(ctx context.Context) error {
	data, err := cbor.Marshal(rosterRow{URL: c.url, DataCentre: c.centre})
	if err != nil {
		return errors.Wrap(err, "edge: roster")
	}
	_, err = c.store.Commit(ctx, []store.Write{store.Put(c.rosterKey(), 0, data)})
	if !errors.Is(err, store.ErrConflict) {
		return err
	}
	row, err := c.store.Get(ctx, c.rosterKey())
	if err != nil {
		return err
	}
	_, err = c.store.Commit(ctx, []store.Write{store.Put(c.rosterKey(), row.Version(), data)})
	return err
}

func (c *meshNode) decodeRoster(p feed.Page) []node.Peer {
	var out []node.Peer
	for _, r := range p.Rows {
		var row rosterRow
		if err := cbor.Unmarshal(r.Value, &row); err != nil {
			c.log.Warn("edge: row of the roster not understood", zap.String("instance", r.Key), zap.Error(err))
			continue
		}
		out = append(out, node.Peer{ID: spec.InstanceID(r.Key), DataCentre: row.DataCentre, URL: row.URL, Version: r.Version})
	}
	return out
}

// removeRosterRow removes the own row, so that nobody dials an instance that left.
func (c *meshNode) removeRosterRow(ctx context.Context) {
	row, err := c.store.Get(ctx, c.rosterKey())
	if err == nil {
		_, err = c.store.Commit(ctx, []store.Write{store.Remove(c.rosterKey(), row.Version())})
	}
	if err != nil {
		c.log.Info("edge: row of the roster stays", zap.Error(err))
	}
}

// addDead notes an engine that did not answer, for the others.
func (c *meshNode) addDead(id spec.UpstreamID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unreportedDead = append(c.unreportedDead, id)
}

// Usage is what the own requests take.
func (c *meshNode) Usage() map[string]map[spec.UpstreamID]path.Usage { return c.router.localUsage() }

// Checkpoints is how much is known of each table.
func (c *meshNode) Checkpoints() map[string]feed.Checkpoint { return c.state.marks() }

// SyncAge is how long ago the store last told of all tables.
func (c *meshNode) SyncAge() time.Duration { return c.state.age() }

// Slowdowns are the engines that work slower than usual.
func (c *meshNode) Slowdowns() map[spec.UpstreamID]float64 { return c.router.localSlowdowns() }

// HasUrgent tells that engines were found dead.
func (c *meshNode) HasUrgent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.unreportedDead) > 0
}

// TakeChangedVersions is the last changes of which the store told.
func (c *meshNode) TakeChangedVersions() map[string]uint64 { return c.state.takeChangedVersions() }

// ChangesSince returns the changes of a table.
func (c *meshNode) ChangesSince(table string, version uint64) (since uint64, p feed.Page) {
	return c.state.Since(table, version)
}

// TakeFailures returns what was found since the last call.
func (c *meshNode) TakeFailures() (dead []spec.UpstreamID, crashes []crash.Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	dead = c.unreportedDead
	c.unreportedDead = nil
	return dead, c.router.takeCrashes()
}

// ReceiveUsage takes what the requests of another instance or of several take.
func (c *meshNode) ReceiveUsage(from spec.InstanceID, uses map[string]map[spec.UpstreamID]path.Usage) {
	c.router.applyPeerUsage(from, uses)
}

// ReceiveSlowdowns takes how slow engines are.
func (c *meshNode) ReceiveSlowdowns(from spec.InstanceID, paces map[spec.UpstreamID]float64) {
	c.router.applyPeerSlowdowns(from, paces)
}

// Retries is how often the own requests were sent.
func (c *meshNode) Retries() map[string]resend.Usage { return c.router.localRetries() }

// ReceiveRetries takes how often requests of other instances were sent.
func (c *meshNode) ReceiveRetries(from spec.InstanceID, repeats map[string]resend.Usage) {
	c.router.applyPeerRetries(from, repeats)
}

// ReceiveRows takes rows that another instance knows.
func (c *meshNode) ReceiveRows(table string, since uint64, rows []feed.Row, m feed.Checkpoint, from spec.InstanceID) {
	c.state.ApplyPeerChanges(table, since, rows, m, from)
}

// ReceiveCheckpoint takes how much another instance knows.
func (c *meshNode) ReceiveCheckpoint(table string, m feed.Checkpoint) {
	c.state.ConfirmVersion(table, m)
}

// ReportLag notes that others know more and do not tell it.
func (c *meshNode) ReportLag(table string, known, there uint64) {
	c.log.Warn("edge: others know more, reading the store", zap.String("table", table), zap.Uint64("version", known), zap.Uint64("theirs", there))
	c.countBehind()
}

// ReceiveDead asks engines that another instance found dead.
func (c *meshNode) ReceiveDead(_ spec.InstanceID, engines []spec.UpstreamID) {
	for _, id := range engines {
		c.onReportedDead(id)
	}
}

// ReceiveCrashes takes deaths of upstreams with the requests that they ran.
func (c *meshNode) ReceiveCrashes(_ spec.InstanceID, deaths []crash.Event) {
	c.router.applyPeerCrashes(deaths)
}

// PeerJoined notes an instance that is heard.
func (c *meshNode) PeerJoined(id spec.InstanceID) {
	c.log.Info("edge: instance met", zap.String("peer", string(id)))
	c.mu.Lock()
	defer c.mu.Unlock()
	c.livePeers[id] = true
}

// PeerLost notes an instance that fell silent: its requests end with it.
func (c *meshNode) PeerLost(id spec.InstanceID) {
	c.log.Warn("edge: instance missed", zap.String("peer", string(id)))
	c.router.applyPeerUsage(id, nil)
	c.router.applyPeerSlowdowns(id, nil)
	c.router.applyPeerRetries(id, nil)
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.livePeers, id)
}
