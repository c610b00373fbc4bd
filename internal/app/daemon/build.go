package daemon

import (
	"math/rand/v2"
	"net/http"
	"strings"

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
	"fulmarwick/internal/wire/loop"
	"fulmarwick/internal/wire/plain"
	"fulmarwick/internal/wire/watch"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"go.uber.org/zap"
)

// parts are what an instance consists of.
type parts struct {
	// owner names this incarnation of the instance in leases and records.
	owner    string
	halt     *halt.Drainer
	meters   *metrics.Set
	board    *meters.Board
	spans    *spans.Sender
	book     *config.Active
	follower *config.Follower
	applier  *config.Applier
	// changed wakes whoever tells others of a new version.
	changed  chan struct{}
	budget   *store.Budget
	breaker  *store.Breaker
	table    store.Table
	ledger   *ledger.Ledger
	sender   *plain.Sender
	logic    *core.Logic
	planner  *place.Planner
	loop     *loop.Loop
	pool     *engine.Pool
	controls *controls
	tap      *tap
	watcher  *watch.Watcher
	runner   *chain.Runner
	callers  *entry.Server
	fleet    *fleet
	duties   *duties
}

// build makes the parts, once.
func (d *Daemon) build() error {
	d.once.Do(func() { d.broken = d.buildParts() })
	return d.broken
}

func (d *Daemon) buildParts() error {
	d.buildSight()
	d.buildRoute()
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

func (d *Daemon) buildSight() {
	p := &d.parts
	p.owner = d.Settings.Instance.Name + "/" + uuid.NewString()
	p.halt = &halt.Drainer{Grace: d.Settings.Times.Grace, Log: d.Log}
	p.meters = metrics.NewSet()
	p.meters.RegisterMetricsWriter(d.gauges)
	p.board = &meters.Board{Meters: p.meters}
	p.spans = &spans.Sender{
		URL: d.Settings.Trace.URL, Part: d.Settings.Trace.Part,
		Instance: d.Settings.Instance.Name, DataCentre: d.Settings.Instance.DataCentre,
	}
}

func (d *Daemon) buildRoute() {
	p := &d.parts
	name := d.Settings.Instance.Name
	p.planner = &place.Planner{Goal: goal(d.Settings.Goal), DataCentre: d.planned()}
	p.logic = &core.Logic{ID: spec.InstanceID(name), Seed: xxhash.Sum64String(name), Planner: p.planner}
	p.loop = &loop.Loop{Logic: p.logic, HandleOther: d.told, MaxArrivals: d.Settings.Limits.Queue, Meters: p.meters}
	p.pool = &engine.Pool{HTTP: &http.Client{}, Post: p.loop.Post, Meters: p.meters}
	p.controls = &controls{pool: p.pool, http: p.pool.HTTP}
	p.runner = &chain.Runner{Engines: p.pool, Router: p.loop, KV: p.pool, Meters: p.meters}
}

func goal(g setup.Goal) place.Goal {
	if g == setup.GoalRecovery {
		return place.Recovery
	}
	return place.Throughput
}

// buildState makes what uses the platform's table. Every use passes the
// breaker and the budget; records come first.
func (d *Daemon) buildState() *plain.Sender {
	p := &d.parts
	client := &store.Client{BaseURL: d.Settings.Platform.Table, HTTP: store.NewHTTPClient()}
	seed := xxhash.Sum64String(p.owner)
	p.breaker = &store.Breaker{Table: client, Rand: rand.New(rand.NewPCG(seed, 0)), Meters: p.meters}
	p.budget = &store.Budget{Meters: p.meters}
	p.table = p.budget.Limit(store.RankLease, p.breaker)
	rest := p.budget.Limit(store.RankOther, p.breaker)
	p.book = &config.Active{}
	p.changed = make(chan struct{}, 1)
	p.follower = &config.Follower{
		Table: rest, Active: p.book, OnChange: d.adopt, Jitter: jitter, Meters: p.meters,
		OnError: func(err error) { d.Log.Warn("config: not followed", zap.Error(err)) },
	}
	p.applier = &config.Applier{Table: rest, StartFrom: p.follower}
	sender := &plain.Sender{HTTP: plain.NewHTTP(), Repeats: d.repeats, Meters: p.meters}
	p.ledger = &ledger.Ledger{
		Table:       &store.Batcher{Table: p.budget.Limit(store.RankRecord, p.breaker), Meters: p.meters},
		LookupTable: rest,
		Sender:      sender, Querier: sender, SupportsOutcomes: d.asks, Repeatable: d.repeats,
		ServiceOf: d.service, Owner: p.owner, HasExited: d.gone, Jitter: jitter, Meters: p.meters,
	}
	return sender
}

func (d *Daemon) buildWatch(sender *plain.Sender) {
	p := &d.parts
	p.tap = &tap{Daemon: d}
	lister := &store.Client{BaseURL: d.Settings.Platform.List, HTTP: store.NewHTTPClient()}
	if lister.BaseURL == "" {
		lister.BaseURL = d.Settings.Platform.Table
	}
	p.watcher = &watch.Watcher{
		List: lister, Loop: p.tap, Engines: p.controls, Services: sender, HTTP: &http.Client{},
		Log: d.Log, Every: d.Settings.Platform.Watch, Caches: p.controls,
	}
	if p.fleet != nil {
		p.watcher.News = p.fleet.hub
		p.watcher.Self = p.fleet.hub.Self.ID
		p.watcher.Listed = p.fleet.listed
	}
}

func (d *Daemon) buildCallers() {
	p := &d.parts
	p.callers = &entry.Server{
		Models: &models{d}, Calls: p.ledger, Book: p.book, Limits: limits(d.Settings),
		Log: d.Log, Meters: p.meters, Observer: p.board,
	}
}

func limits(s setup.File) entry.Limits {
	return entry.Limits{
		Body: s.Limits.Body, Header: s.Limits.Header, Tokens: s.Limits.Tokens,
		Streams: s.Limits.Streams, Team: s.Limits.Team, Connection: s.Limits.Connection, Buffer: s.Limits.Buffer,
		HeaderTime: s.Times.Header, BodyTime: s.Times.Body, WriteTime: s.Times.Write,
		IdleTime: s.Times.Idle, Comment: s.Times.Comment,
	}
}

// adopt acts on a configuration that came in force.
func (d *Daemon) adopt(s *config.Snapshot) {
	p := &d.parts
	p.board.Keep(s.Classes())
	p.loop.Post(domain.ConfigChanged{Version: s.Version(), Classes: s.Classes(), Teams: s.Teams()})
	d.Log.Info("config: in force", zap.Uint64("version", s.Version()))
	select {
	case p.changed <- struct{}{}:
	default:
	}
}

// repeats says whether calls of a class may run more than once.
func (d *Daemon) repeats(name spec.ClassName) bool {
	class, ok := d.parts.book.Class(name)
	return ok && class.Retryable()
}

// service names the service of a class, so that a look-up can ask it.
func (d *Daemon) service(name spec.ClassName) spec.ServiceName {
	class, _ := d.parts.book.Class(name)
	return class.Service()
}

// asks says whether a service can tell the outcome of a call.
func (d *Daemon) asks(service spec.ServiceName) bool {
	now := d.parts.book.Snapshot()
	return now != nil && now.SupportsOutcomes(service)
}

// gone reports evidence that another incarnation will not go on with its
// records. A former self ended, since instances have names of their own.
func (d *Daemon) gone(owner string) bool {
	name, _, _ := strings.Cut(owner, "/")
	if name == d.Settings.Instance.Name {
		return owner != d.parts.owner
	}
	return d.parts.fleet != nil && d.parts.fleet.gone(spec.InstanceID(name))
}

// jitter is a factor around 1 for waits, so that instances do not keep step.
func jitter() float64 { return 0.75 + rand.Float64()/2 }

// unit is the data centres that share the detail of engines with this one:
// itself, or all of the region.
func (d *Daemon) unit() string { return d.unitOf(d.Settings.Instance.DataCentre) }

func (d *Daemon) unitOf(centre string) string {
	if d.Settings.Instance.Span == setup.SpanRegion {
		return d.Settings.Instance.Region
	}
	return centre
}

// planned is the data centre whose engines are planned here; "" is all.
func (d *Daemon) planned() spec.DataCentre {
	if d.Settings.Instance.Span == setup.SpanRegion {
		return ""
	}
	return spec.DataCentre(d.Settings.Instance.DataCentre)
}
