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
	// meshIdleTimeout is how long a connection to another instance stays open without a
	// message; six were due in that time.
	meshIdleTimeout = 1200 * time.Millisecond
	// rosterTable is the table with a row for each instance, under its name.
	rosterTable = "instances"
	// rosterInterval is the interval between two reads of the roster while no other
	// instance is connected.
	rosterInterval = 5 * time.Second
	// rosterRetryDelay is the delay after a failed call.
	rosterRetryDelay = 400 * time.Millisecond
)

// rosterRow holds the address of an instance for other instances.
type rosterRow struct {
	URL        string          `cbor:"1,keyasint"`
	DataCentre spec.DataCentre `cbor:"2,keyasint,omitempty"`
}

// meshNode exchanges state with the other instances: it provides what this instance sends
// and applies what it receives.
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
	// countBehind counts how often other instances had a newer version of a table and
	// did not send it.
	countBehind func()
	// onReportedDead is called for each engine that another instance reported dead.
	onReportedDead func(id spec.UpstreamID)
	logic          *mesh.Logic
	hub            *peer.Hub

	// rosterWritten is set once the own row of the roster was written. Only maintainRoster
	// uses it and rosterRead.
	rosterWritten bool
	// rosterRead is set once the rows of the others were read after that.
	rosterRead bool

	mu sync.Mutex
	// unreportedDead holds engines found dead that were not yet reported to the others.
	unreportedDead []spec.UpstreamID
	// livePeers holds the instances that are connected.
	livePeers map[spec.InstanceID]bool
}

// initHub creates the mesh logic and the hub that holds the connections.
func (m *meshNode) initHub() {
	m.livePeers = map[spec.InstanceID]bool{}
	m.logic = &mesh.Logic{ID: m.id, DataCentre: m.centre, URL: m.url, Local: m, Receiver: m, Now: time.Now}
	m.hub = &peer.Hub{Self: node.Peer{ID: m.id, URL: m.url}, Logic: m.logic, ReadTimeout: meshIdleTimeout, Dial: m.dial, Log: m.log, Meters: m.meters}
}

// handler serves the connections of other instances.
func (m *meshNode) handler() http.Handler { return m.hub.Handler() }

// run runs the hub until ctx ends.
func (m *meshNode) run(ctx context.Context) {
	if err := m.hub.Run(ctx); err != nil {
		m.log.Error("edge: mesh stopped", zap.Error(err))
	}
}

// maintainRoster writes the own row of the roster and discovers the other instances by
// their rows. Instances that start later discover this one. The row is removed when ctx
// ends.
func (m *meshNode) maintainRoster(ctx context.Context) {
	for ctx.Err() == nil {
		err := m.syncRoster(ctx)
		delay := rosterInterval
		if err != nil {
			m.log.Info("edge: cannot sync roster", zap.Error(err))
			delay = rosterRetryDelay
		}
		if !feed.Sleep(ctx, delay) {
			break
		}
	}
	if m.rosterWritten {
		m.removeRosterRow(context.WithoutCancel(ctx))
	}
}

// syncRoster writes the own row and then reads the rows of the others, each once: of two
// instances the one that writes later discovers the other. A connection to one instance
// doesn't replace that read, as it doesn't make all others known. While no instance is
// connected, the rows are read again.
func (m *meshNode) syncRoster(ctx context.Context) error {
	if !m.rosterWritten {
		if err := m.writeRosterRow(ctx); err != nil {
			return err
		}
		m.rosterWritten = true
	}
	if m.rosterRead && m.hasPeers() {
		return nil
	}
	page, err := m.store.ReadTable(ctx, rosterTable)
	if err != nil {
		return err
	}
	m.hub.Post(node.DiscoveryList{Peers: m.decodeRoster(page)})
	m.rosterRead = true
	return nil
}

// hasPeers reports whether any other instance is connected.
func (m *meshNode) hasPeers() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.livePeers) > 0
}

// rosterKey returns the key of the own row.
func (m *meshNode) rosterKey() string { return rosterTable + "/" + string(m.id) }

// writeRosterRow writes the own row. Most instances start for the first time, so the row of
// a former process is read only if the write conflicts with it.
func (m *meshNode) writeRosterRow(ctx context.Context) error {
	data, err := cbor.Marshal(rosterRow{URL: m.url, DataCentre: m.centre})
	if err != nil {
		return errors.Wrap(err, "edge: encode roster row")
	}
	_, err = m.store.Commit(ctx, []store.Write{store.Put(m.rosterKey(), 0, data)})
	if !errors.Is(err, store.ErrConflict) {
		return err
	}
	row, err := m.store.Get(ctx, m.rosterKey())
	if err != nil {
		return err
	}
	_, err = m.store.Commit(ctx, []store.Write{store.Put(m.rosterKey(), row.Version(), data)})
	return err
}

// decodeRoster returns the instances listed in the roster, without malformed rows.
func (m *meshNode) decodeRoster(page feed.Page) []node.Peer {
	var out []node.Peer
	for _, r := range page.Rows {
		var row rosterRow
		if err := cbor.Unmarshal(r.Value, &row); err != nil {
			m.log.Warn("edge: malformed roster row skipped", zap.String("instance", r.Key), zap.Error(err))
			continue
		}
		out = append(out, node.Peer{ID: spec.InstanceID(r.Key), DataCentre: row.DataCentre, URL: row.URL, Version: r.Version})
	}
	return out
}

// removeRosterRow removes the own row, so that no instance dials one that has stopped.
func (m *meshNode) removeRosterRow(ctx context.Context) {
	row, err := m.store.Get(ctx, m.rosterKey())
	if err == nil {
		_, err = m.store.Commit(ctx, []store.Write{store.Remove(m.rosterKey(), row.Version())})
	}
	if err != nil {
		m.log.Info("edge: cannot remove own roster row", zap.Error(err))
	}
}

// addDead queues an engine that was found dead to be reported to the other instances.
func (m *meshNode) addDead(id spec.UpstreamID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.unreportedDead = append(m.unreportedDead, id)
}

// Usage returns the usage of the engines by the requests of this instance.
func (m *meshNode) Usage() map[string]map[spec.UpstreamID]path.Usage { return m.router.localUsage() }

// Checkpoints returns the checkpoint of each table.
func (m *meshNode) Checkpoints() map[string]feed.Checkpoint { return m.state.checkpoints() }

// SyncAge returns how long ago all tables were last read from the store; negative if a
// table never was.
func (m *meshNode) SyncAge() time.Duration { return m.state.age() }

// Slowdowns returns the slowdown factors that slow engines reported to this instance.
func (m *meshNode) Slowdowns() map[spec.UpstreamID]float64 { return m.router.localSlowdowns() }

// HasUrgent reports whether engines were found dead since the last TakeFailures.
func (m *meshNode) HasUrgent() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.unreportedDead) > 0
}

// TakeChangedVersions returns the version of the last change of each table that was read
// from the store since the last call.
func (m *meshNode) TakeChangedVersions() map[string]uint64 { return m.state.takeChangedVersions() }

// ChangesSince returns the changes of a table after a version, or the whole table for
// version 0.
func (m *meshNode) ChangesSince(table string, version uint64) (since uint64, p feed.Page) {
	return m.state.Since(table, version)
}

// TakeFailures returns the dead engines and the crashes found since the last call.
func (m *meshNode) TakeFailures() (dead []spec.UpstreamID, crashes []crash.Event) {
	m.mu.Lock()
	defer m.mu.Unlock()
	dead = m.unreportedDead
	m.unreportedDead = nil
	return dead, m.router.takeCrashes()
}

// ReceiveUsage applies the usage by the requests of another instance, or of several.
func (m *meshNode) ReceiveUsage(from spec.InstanceID, usage map[string]map[spec.UpstreamID]path.Usage) {
	m.router.applyPeerUsage(from, usage)
}

// ReceiveSlowdowns applies the slowdown factors that engines reported to another instance.
func (m *meshNode) ReceiveSlowdowns(from spec.InstanceID, slowdowns map[spec.UpstreamID]float64) {
	m.router.applyPeerSlowdowns(from, slowdowns)
}

// Retries returns the retry usage of this instance, by service.
func (m *meshNode) Retries() map[string]resend.Usage { return m.router.localRetries() }

// ReceiveRetries applies the retry usage of other instances.
func (m *meshNode) ReceiveRetries(from spec.InstanceID, retries map[string]resend.Usage) {
	m.router.applyPeerRetries(from, retries)
}

// ReceiveRows applies changed rows that another instance sent.
func (m *meshNode) ReceiveRows(table string, since uint64, rows []feed.Row, checkpoint feed.Checkpoint, from spec.InstanceID) {
	m.state.ApplyPeerChanges(table, since, rows, checkpoint, from)
}

// ReceiveCheckpoint applies the checkpoint of a table that another instance reported.
func (m *meshNode) ReceiveCheckpoint(table string, checkpoint feed.Checkpoint) {
	m.state.ConfirmVersion(table, checkpoint)
}

// ReportLag counts and logs that another instance has a newer version of a table and did
// not send it, so that this instance reads the store.
func (m *meshNode) ReportLag(table string, known, peerVersion uint64) {
	m.log.Warn("edge: peers have a newer version, reading the store", zap.String("table", table), zap.Uint64("version", known), zap.Uint64("theirs", peerVersion))
	m.countBehind()
}

// ReceiveDead handles engines that another instance reported dead.
func (m *meshNode) ReceiveDead(_ spec.InstanceID, engines []spec.UpstreamID) {
	for _, id := range engines {
		m.onReportedDead(id)
	}
}

// ReceiveCrashes applies crashes of upstreams, each with the request that the upstream ran,
// that another instance reported.
func (m *meshNode) ReceiveCrashes(_ spec.InstanceID, crashes []crash.Event) {
	m.router.applyPeerCrashes(crashes)
}

// PeerJoined records an instance that joined the mesh.
func (m *meshNode) PeerJoined(id spec.InstanceID) {
	m.log.Info("edge: instance met", zap.String("peer", string(id)))
	m.mu.Lock()
	defer m.mu.Unlock()
	m.livePeers[id] = true
}

// PeerLost removes what an instance reported once no messages come from it: its requests
// are taken to have ended.
func (m *meshNode) PeerLost(id spec.InstanceID) {
	m.log.Warn("edge: instance lost", zap.String("peer", string(id)))
	m.router.applyPeerUsage(id, nil)
	m.router.applyPeerSlowdowns(id, nil)
	m.router.applyPeerRetries(id, nil)
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.livePeers, id)
}
