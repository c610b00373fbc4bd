package daemon

import (
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"fulmarwick/internal/app/halt"
	"fulmarwick/internal/app/meters"
	"fulmarwick/internal/app/setup"
	"fulmarwick/internal/app/spans"
	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/core"
	"fulmarwick/internal/route/domain"
	"fulmarwick/internal/route/place"
	"fulmarwick/internal/state/config"
	"fulmarwick/internal/state/ledger"
	"fulmarwick/internal/state/store"
	"fulmarwick/internal/wire/chain"
	"fulmarwick/internal/wire/engine"
	"fulmarwick/internal/wire/entry"
	"fulmarwick/internal/wire/guard"
	"fulmarwick/internal/wire/loop"
	"fulmarwick/internal/wire/plain"
	"fulmarwick/internal/wire/watch"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"go.uber.org/zap"
	"golang.org/x/time/rate"
)

// parts holds the components of an instance.
type parts struct {
	// owner identifies this incarnation of the instance in leases and records.
	owner   string
	drainer *halt.Drainer
	metrics *metrics.Set
	// account is what callers hold of the memory and descriptors.
	account    *guard.Account
	attainment *meters.Recorder
	spans      *spans.Sender
	active     *config.Active
	follower   *config.Follower
	applier    *config.Applier
	// versionChanged wakes announceVersions after a new version took effect.
	versionChanged chan struct{}
	budget         *store.Budget
	breaker        *store.Breaker
	table          store.Table
	ledger         *ledger.Ledger
	sender         *plain.Sender
	logic          *core.Logic
	planner        *place.Planner
	loop           *loop.Loop
	pool           *engine.Pool
	controls       *controls
	interceptor    *interceptor
	watcher        *watch.Watcher
	runner         *chain.Runner
	callers        *entry.Server
	fleet          *fleet
	duties         *duties
}

// build creates the components once. Later calls return the result of the first
// call.
func (d *Daemon) build() error {
	d.once.Do(func() { d.buildErr = d.buildParts() })
	return d.buildErr
}

func (d *Daemon) buildParts() error {
	d.buildTelemetry()
	d.buildRouting()
	sender := d.buildState()
	f, err := d.newFleet()
	if err != nil {
		return err
	}
	d.parts.fleet = f
	d.parts.duties = d.newDuties()
	d.parts.sender = sender
	d.buildWatch(sender)
	if f != nil {
		f.duties = d.parts.duties
		d.parts.follower.Peers = f
	}
	d.buildCallers()
	return nil
}

func (d *Daemon) buildTelemetry() {
	p := &d.parts
	p.owner = d.Settings.Instance.Name + "/" + uuid.NewString()
	p.drainer = &halt.Drainer{Grace: d.Settings.Times.Grace, Log: d.Log}
	p.metrics = metrics.NewSet()
	p.account = guard.NewMachineAccount(d.Settings.Limits.Memory, d.Settings.Limits.Descriptors)
	p.account.Register(p.metrics)
	p.drainer.OnWait = p.account.EvictStalled
	p.metrics.RegisterMetricsWriter(d.gauges)
	p.attainment = &meters.Recorder{Meters: p.metrics}
	p.spans = &spans.Sender{
		URL: d.Settings.Trace.URL, SampleRatio: d.Settings.Trace.SampleRatio,
		Instance: d.Settings.Instance.Name, DataCentre: d.Settings.Instance.DataCentre,
	}
}

func (d *Daemon) buildRouting() {
	p := &d.parts
	name := d.Settings.Instance.Name
	p.planner = &place.Planner{Goal: plannerGoal(d.Settings.Goal), DataCentre: d.plannedCentre()}
	p.logic = &core.Logic{ID: spec.InstanceID(name), Seed: xxhash.Sum64String(name), Planner: p.planner}
	p.loop = &loop.Loop{Logic: p.logic, HandleCommand: d.handleRouteCommand, MaxArrivals: d.Settings.Limits.Queue, Meters: p.metrics}
	p.pool = &engine.Pool{HTTP: &http.Client{}, Post: p.loop.Post, Meters: p.metrics}
	p.controls = &controls{pool: p.pool, http: p.pool.HTTP}
	p.runner = &chain.Runner{Engines: p.pool, Router: p.loop, KV: p.pool, Meters: p.metrics}
}

func plannerGoal(g setup.Goal) place.Goal {
	if g == setup.GoalRecovery {
		return place.Recovery
	}
	return place.Throughput
}

// buildState creates the components that use the platform's table. Every access
// passes the circuit breaker and the budget, which gives records the highest
// priority.
func (d *Daemon) buildState() *plain.Sender {
	p := &d.parts
	client := &store.Client{BaseURL: d.Settings.Platform.Table, HTTP: store.NewHTTPClient()}
	seed := xxhash.Sum64String(p.owner)
	p.breaker = &store.Breaker{Table: client, Rand: rand.New(rand.NewPCG(seed, 0)), Meters: p.metrics}
	p.budget = &store.Budget{Meters: p.metrics}
	p.table = p.budget.Limit(store.RankLease, p.breaker)
	otherTable := p.budget.Limit(store.RankOther, p.breaker)
	p.active = &config.Active{}
	p.versionChanged = make(chan struct{}, 1)
	p.follower = &config.Follower{
		Table: otherTable, Active: p.active, OnChange: d.onConfigChange, Jitter: jitter, Meters: p.metrics,
		OnError: func(err error) { d.Log.Warn("config: update failed", zap.Error(err)) },
	}
	p.applier = &config.Applier{Table: otherTable, StartFrom: p.follower}
	sender := &plain.Sender{HTTP: plain.NewHTTP(), Retryable: d.retryable, Meters: p.metrics}
	p.ledger = &ledger.Ledger{
		Table:       &store.Batcher{Table: p.budget.Limit(store.RankRecord, p.breaker), Meters: p.metrics},
		LookupTable: otherTable,
		Sender:      sender, Querier: sender, SupportsOutcomes: d.supportsOutcomes, Repeatable: d.retryable,
		ServiceOf: d.serviceOf, Owner: p.owner, HasExited: d.ownerExited, Jitter: jitter, Meters: p.metrics,
	}
	return sender
}

const (
	// maxLoggedEntry limits how much of a malformed entry of the list is logged, in bytes.
	maxLoggedEntry = 200
	// malformedLogInterval is the time between two log lines of malformed entries: the list is read anew
	// every few seconds.
	malformedLogInterval = time.Minute
)

// logFirst returns a function that passes on one call in each malformedLogInterval.
func logFirst(log func(entry []byte, err error)) func(entry []byte, err error) {
	allowed := rate.Sometimes{Interval: malformedLogInterval}
	return func(entry []byte, err error) { allowed.Do(func() { log(entry, err) }) }
}

func (d *Daemon) buildWatch(sender *plain.Sender) {
	p := &d.parts
	p.interceptor = &interceptor{Daemon: d}
	lister := &store.Client{BaseURL: d.Settings.Platform.List, HTTP: store.NewHTTPClient()}
	lister.OnMalformed = logFirst(func(entry []byte, err error) {
		d.Log.Warn("watch: malformed entry of the instance list skipped", zap.ByteString("entry", entry[:min(len(entry), maxLoggedEntry)]), zap.Error(err))
	})
	if lister.BaseURL == "" {
		lister.BaseURL = d.Settings.Platform.Table
	}
	p.watcher = &watch.Watcher{
		List: lister, Events: p.interceptor, Engines: p.controls, Services: sender, HTTP: &http.Client{},
		Log: d.Log, ListInterval: d.Settings.Platform.Watch, Caches: p.controls,
	}
	if p.fleet != nil {
		p.watcher.Publisher = p.fleet.hub
		p.watcher.Self = p.fleet.hub.Self.ID
		p.watcher.Listed = p.fleet.handleList
	}
}

func (d *Daemon) buildCallers() {
	p := &d.parts
	p.callers = &entry.Server{
		Models: &modelRunner{d}, Calls: p.ledger, Config: p.active, Limits: entryLimits(d.Settings),
		Log: d.Log, Meters: p.metrics, Observer: p.attainment,
	}
}

func entryLimits(s setup.Settings) entry.Limits {
	return entry.Limits{
		Body: s.Limits.Body, Header: s.Limits.Header, Tokens: s.Limits.Tokens,
		Streams: s.Limits.Streams, TeamStreams: s.Limits.Team, ConnectionStreams: guard.Streams(s.Limits.Connection, s.Limits.Memory), Buffer: s.Limits.Buffer,
		HeaderTime: s.Times.Header, BodyTime: s.Times.Body, WriteTime: s.Times.Write,
		IdleTime: s.Times.Idle, CommentInterval: s.Times.Comment,
	}
}

// onConfigChange applies a configuration that became active.
func (d *Daemon) onConfigChange(s *config.Snapshot) {
	p := &d.parts
	p.attainment.Retain(s.Classes())
	p.loop.Post(domain.ConfigChanged{Version: s.Version(), Classes: s.Classes(), Teams: s.Teams()})
	d.Log.Info("config: in force", zap.Uint64("version", s.Version()))
	select {
	case p.versionChanged <- struct{}{}:
	default:
	}
}

// retryable reports whether calls of a class may run more than once.
func (d *Daemon) retryable(name spec.ClassName) bool {
	class, ok := d.parts.active.Class(name)
	return ok && class.Retryable()
}

// serviceOf returns the service of a class, so that an outcome lookup can query
// it.
func (d *Daemon) serviceOf(name spec.ClassName) spec.ServiceName {
	class, _ := d.parts.active.Class(name)
	return class.Service()
}

// supportsOutcomes reports whether a service can be queried for the outcome of
// a call.
func (d *Daemon) supportsOutcomes(service spec.ServiceName) bool {
	current := d.parts.active.Snapshot()
	return current != nil && current.SupportsOutcomes(service)
}

// ownerExited reports whether another incarnation has certainly ended and will
// not complete its records. Instance names are unique, so an earlier
// incarnation with the name of this instance has ended.
func (d *Daemon) ownerExited(owner string) bool {
	name, _, _ := strings.Cut(owner, "/")
	if name == d.Settings.Instance.Name {
		return owner != d.parts.owner
	}
	return d.parts.fleet != nil && d.parts.fleet.peerExited(spec.InstanceID(name))
}

// jitter returns a random factor between 0.75 and 1.25 for wait times, so that
// instances do not act in lockstep.
func jitter() float64 { return 0.75 + rand.Float64()/2 }

// localSpan returns the span of this instance: its data centre, or its region
// if instances share engine details across the region.
func (d *Daemon) localSpan() string { return d.spanOf(d.Settings.Instance.DataCentre) }

func (d *Daemon) spanOf(centre string) string {
	if d.Settings.Instance.Span == setup.SpanRegion {
		return d.Settings.Instance.Region
	}
	return centre
}

// plannedCentre returns the data centre whose engines this instance plans; ""
// stands for all data centres.
func (d *Daemon) plannedCentre() spec.DataCentre {
	if d.Settings.Instance.Span == setup.SpanRegion {
		return ""
	}
	return spec.DataCentre(d.Settings.Instance.DataCentre)
}
