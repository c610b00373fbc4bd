package edge

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"fulmarwick/internal/app/setup"
	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/fleet/mesh"
	"fulmarwick/internal/fleet/node"
	"fulmarwick/internal/route/crash"
	"fulmarwick/internal/route/limit"
	"fulmarwick/internal/route/path"
	"fulmarwick/internal/route/resend"
	"fulmarwick/internal/route/share"
	"fulmarwick/internal/state/feed"
	"fulmarwick/internal/wire/peer"
	"fulmarwick/platform"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"
)

// meshIdleTimeout is how long a connection to another instance stays open without a
// message; six were due in that time.
const meshIdleTimeout = 1200 * time.Millisecond

const (
	// minHeadCores is the processor time below which an instance leaves the work for the fleet to
	// others: the messages of the head of a cell take up to a tenth of a core.
	minHeadCores = 0.25
	// minHeadLink is the same for the bandwidth, in Mbit/s: a head sends a configuration of 64 KiB to
	// each of two dozen instances within half a second.
	minHeadLink = 25
)

// isConstrained reports whether an instance with the given limits leaves work for the fleet to
// others; unknown limits do not count.
func isConstrained(l setup.Limits) bool {
	return l.Cores > 0 && l.Cores < minHeadCores || l.Link > 0 && l.Link < minHeadLink
}

// meshNode exchanges state with the other instances: it provides what this instance sends
// and applies what it receives.
type meshNode struct {
	id     spec.InstanceID
	centre spec.DataCentre
	url    string
	// constrained means that others should do the work for the fleet.
	constrained bool

	store  *platform.Store
	state  *stateView
	router *router
	log    *zap.Logger
	dial   func(ctx context.Context, network, address string) (net.Conn, error)
	meters *metrics.Set
	// countBehind counts how often other instances had a newer version of a table and
	// did not send it.
	countBehind func()
	// onReportedSilent is called for each engine that another instance reported silent.
	onReportedSilent func(id spec.UpstreamID)
	logic            *mesh.Logic
	hub              *peer.Hub

	// rosterWritten is set once the own row of the roster was written. Only maintainRoster
	// uses it and rosterRead.
	rosterWritten bool
	// rosterRead is set once the rows of the others were read after that.
	rosterRead bool
	// rosterInDoubt is set when the store was restored from a copy that may lack the own row.
	rosterInDoubt atomic.Bool
	// sawRestore means that this instance has seen the store begin an era. Only maintainRoster uses
	// it.
	sawRestore bool

	mu sync.Mutex
	// unreportedSilent holds engines found silent that were not yet reported to the others.
	unreportedSilent []spec.UpstreamID
	// livePeers holds the instances that are connected.
	livePeers map[spec.InstanceID]bool
}

// initHub creates the mesh logic and the hub that holds the connections.
func (m *meshNode) initHub() {
	m.livePeers = map[spec.InstanceID]bool{}
	m.logic = &mesh.Logic{ID: m.id, DataCentre: m.centre, URL: m.url, Constrained: m.constrained, Local: m, Receiver: m, Starting: m.state.Starting, Now: time.Now}
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

// hasPeers reports whether any other instance is connected.
func (m *meshNode) hasPeers() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.livePeers) > 0
}

// addSilent queues an engine that was found silent to be reported to the other instances.
func (m *meshNode) addSilent(id spec.UpstreamID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.unreportedSilent = append(m.unreportedSilent, id)
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

// HasUrgent reports whether engines were found silent or crashes were recorded since the
// last TakeFailures.
func (m *meshNode) HasUrgent() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.unreportedSilent) > 0 || m.router.hasUnreportedCrashes()
}

// TakeChangedVersions returns the version of the last change of each table that was read
// from the store since the last call.
func (m *meshNode) TakeChangedVersions() map[string]spec.Revision {
	return m.state.takeChangedVersions()
}

// ChangesSince returns the changes of a table after a version, or the whole table for
// version 0.
func (m *meshNode) ChangesSince(table string, version spec.Revision) (since spec.Revision, p feed.Page) {
	return m.state.Since(table, version)
}

// TakeFailures returns the silent engines and the crashes found since the last call.
func (m *meshNode) TakeFailures() (silent []spec.UpstreamID, crashes []crash.Event) {
	m.mu.Lock()
	defer m.mu.Unlock()
	silent = m.unreportedSilent
	m.unreportedSilent = nil
	return silent, m.router.takeCrashes()
}

// Known returns what an instance that joins has to know of crashes and restrictions.
func (m *meshNode) Known() []crash.Event { return m.router.knownCrashes() }

// RateLimits returns what is known of the rate limits of upstreams.
func (m *meshNode) RateLimits() map[spec.UpstreamID]limit.Statement { return m.router.rateLimits() }

// ReceiveRateLimits applies what another instance knows of the rate limits of upstreams.
func (m *meshNode) ReceiveRateLimits(limits map[spec.UpstreamID]limit.Statement) {
	m.router.applyPeerRateLimits(limits)
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

// Teams returns what the requests of this instance say of teams, by service.
func (m *meshNode) Teams() map[string]share.Usage { return m.router.localTeams() }

// ReceiveTeams applies what the requests of other instances say of teams.
func (m *meshNode) ReceiveTeams(from spec.InstanceID, teams map[string]share.Usage) {
	m.router.applyPeerTeams(from, teams)
}

// ReceiveRetries applies the retry usage of other instances.
func (m *meshNode) ReceiveRetries(from spec.InstanceID, retries map[string]resend.Usage) {
	m.router.applyPeerRetries(from, retries)
}

// ReceiveRows applies changed rows that another instance sent.
func (m *meshNode) ReceiveRows(table string, since spec.Revision, rows []feed.Row, checkpoint feed.Checkpoint, from spec.InstanceID) {
	m.state.ApplyPeerChanges(table, since, rows, checkpoint, from)
}

// ReceiveCheckpoint applies the checkpoint of a table that another instance reported.
func (m *meshNode) ReceiveCheckpoint(table string, checkpoint feed.Checkpoint) {
	m.state.ConfirmVersion(table, checkpoint)
}

// ReceiveDigests applies the digests of the tables of another instance that serves.
func (m *meshNode) ReceiveDigests(digests map[string]uint64) { m.state.confirmDigests(digests) }

// ReportLag counts and logs that another instance has a newer version of a table and did
// not send it, so that this instance reads the store.
func (m *meshNode) ReportLag(table string, known, peerVersion spec.Revision) {
	m.log.Warn("edge: peers have a newer version, reading the store", zap.String("table", table), zap.Stringer("version", known), zap.Stringer("theirs", peerVersion))
	m.countBehind()
}

// ReceiveSilent handles engines that another instance reported silent.
func (m *meshNode) ReceiveSilent(_ spec.InstanceID, engines []spec.UpstreamID) {
	for _, id := range engines {
		m.onReportedSilent(id)
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
	m.router.applyPeerTeams(id, nil)
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.livePeers, id)
}
