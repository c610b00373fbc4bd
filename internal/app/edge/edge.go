// Package edge puts together an instance that stands between the balancer of a
// platform and its upstreams, and runs it.
//
// It imports the parts below and the adapter of the platform. The command edge
// runs it.
package edge

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"fulmarwick/internal/app/halt"
	"fulmarwick/internal/app/setup"
	"fulmarwick/internal/app/spans"
	"fulmarwick/internal/base/site"
	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/state/feed"
	"fulmarwick/internal/state/lease"
	"fulmarwick/internal/wire/front"
	"fulmarwick/internal/wire/relay"
	"fulmarwick/internal/wire/send"
	"fulmarwick/platform"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-faster/errors"
	"github.com/google/uuid"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
)

const (
	// dialTime bounds a new connection to an upstream: far above its round
	// trip, below the pause at which callers give up.
	dialTime = 250 * time.Millisecond
	// configWait and listWait bound how long the store may hold a call without
	// news: a connection that fell silent is noticed after that, and the others
	// learn that the store still answers. A change must be in force within two
	// seconds.
	configWait = 700 * time.Millisecond
	listWait   = 700 * time.Millisecond
	// configPause and listPause gather changes. The list changes with each
	// heartbeat of each upstream; a leaving one must be obeyed within two
	// seconds.
	configPause = 50 * time.Millisecond
	listPause   = 600 * time.Millisecond
	// leaseTime and leaseMargin are those of the duty of planning: a planner
	// that died is followed after at most leaseTime and a third.
	leaseTime   = 4500 * time.Millisecond
	leaseMargin = 1200 * time.Millisecond
	// acceptMost is how long a stopping instance accepts requests at most. The
	// balancer turns away after two misses, one a second; where it has no other
	// instance it does not. What comes later could not end before the process
	// is killed, 8 s after the signal.
	acceptMost = 3 * time.Second
	// dutyPlan is the duty of placing layers; planners instances contend for
	// it, one of which holds it.
	dutyPlan = "plan"
	planners = 2
	// sweepEvery is the pause between two looks for what is no longer needed.
	sweepEvery = 100 * time.Millisecond
)

// Instance is one instance. Set the exported fields before Run.
type Instance struct {
	Settings setup.File
	Log      *zap.Logger
	// Build is the version of the program.
	Build string
	// Dial and Listen open connections and addresses; nil uses the network.
	Dial   func(ctx context.Context, network, address string) (net.Conn, error)
	Listen func(ctx context.Context, address string) (net.Listener, error)
	// Ticks makes the ticker by which the instance notices that it got no processor;
	// nil is one of the real clock.
	Ticks func(every time.Duration) (ticks <-chan time.Time, stop func())
	// Again reads the settings again; nil if they never change.
	Again func() (setup.File, error)

	once    sync.Once
	meters  *metrics.Set
	halt    *halt.Halt
	belief  *belief
	router  *router
	watcher *watcher
	planner *planner
	pool    *send.Pool
	store   *platform.Store
	lease   *lease.Lease
	server  *front.Server
	crowd   *crowd
	spans   *spans.Sender
}

// Stop begins the graceful stop.
func (i *Instance) Stop() {
	i.build()
	i.halt.Begin()
}

// Hurry closes the listeners without waiting for the balancer.
func (i *Instance) Hurry() {
	i.build()
	i.halt.Hurry()
}

// Reload takes the settings again: the bounds on repeats and the memory limit
// hold at once, addresses and names from the next start on. Settings that are
// refused change nothing.
func (i *Instance) Reload() {
	if i.Again == nil {
		return
	}
	s, err := i.Again()
	if err != nil {
		i.Log.Error("edge: settings refused, the former ones stay", zap.Error(err))
		return
	}
	i.build()
	i.router.setBounds(s.Retry)
	limitMemory(s.Limits.Memory)
	i.Log.Info("edge: settings taken again", zap.Float64("ratio", s.Retry.Ratio), zap.Int("allowance", s.Retry.Allowance),
		zap.Duration("window", s.Retry.Window), zap.Int64("memory", s.Limits.Memory), zap.Bool("moved", s.Listen != i.Settings.Listen))
}

// build makes the parts, once: a signal may come while Run does it.
func (i *Instance) build() { i.once.Do(i.make) }

func (i *Instance) make() {
	s := i.Settings
	i.meters = metrics.NewSet()
	i.halt = &halt.Halt{Grace: s.Times.Grace, Most: acceptMost, Late: front.Stopped{}, Log: i.Log}
	i.belief = newBelief(i.Log)
	i.router = &router{
		centre: spec.DataCentre(s.Instance.DataCentre), start: time.Now(),
		bounds: s.Retry, groups: map[string]*group{},
	}
	i.pool = &send.Pool{Timeout: dialTime, Dial: i.Dial, Opened: i.counter(`fulmarwick_connections_total`)}
	i.store = &platform.Store{Base: s.Platform.Table, HTTP: newHTTP(i.Dial, dialTime), Agent: s.Instance.Name, Count: i.countCall}
	// A question ends by the time in which this process ran, a connection for it must
	// not end sooner.
	calls := &platform.Engines{HTTP: newHTTP(i.Dial, askMost)}
	owner := uuid.NewString()
	i.lease = &lease.Lease{Table: i.store, Name: dutyPlan, Owner: owner, Time: leaseTime, Margin: leaseMargin, Meters: i.meters}
	i.watcher = newWatcher(i.router, calls, i.Log)
	if i.Ticks != nil {
		i.watcher.ticks = i.Ticks
	}
	late := i.meters.GetOrCreateFloatCounter(`fulmarwick_late_seconds_total`)
	i.watcher.late = func(d time.Duration) { late.Add(d.Seconds()) }
	i.watcher.probed = i.counter(`fulmarwick_reports_total`)
	i.watcher.moved = func(how string) { i.meters.GetOrCreateCounter(`fulmarwick_moves_total{how="` + how + `"}`).Inc() }
	i.planner = &planner{
		router: i.router, engines: calls, lease: i.lease, log: i.Log, start: time.Now(), orders: map[spec.UpstreamID]ordered{}, missing: map[string]time.Time{}, plans: map[string]plan{},
		planned: i.counter(`fulmarwick_plans_total`),
		counted: func(how string) { i.meters.GetOrCreateCounter(`fulmarwick_orders_total{end="` + how + `"}`).Inc() },
	}
	i.crowd = &crowd{
		id: spec.InstanceID(s.Instance.Name), url: "http://" + s.Listen.Mesh,
		store: i.store, belief: i.belief, router: i.router, log: i.Log, dial: i.Dial, behind: i.counter(`fulmarwick_behind_total`),
	}
	i.connect()
}

// connect tells the parts of each other.
func (i *Instance) connect() {
	ctx := context.Background()
	i.router.doubted = func(up site.Upstream) { i.watcher.ask(ctx, up, false) }
	i.belief.onConfig = i.router.setConfig
	i.belief.onList = func(list []site.Upstream) {
		i.router.setList(list)
		i.planner.listed(list)
		i.watcher.listed(list)
	}
	i.crowd.suspect = func(id spec.UpstreamID) { i.watcher.told(ctx, id) }
	i.watcher.found = i.crowd.found
	i.crowd.open()
	i.router.instances = i.crowd.logic.Count
	wire := platform.Wire{}
	i.server = &front.Server{
		Dialect: wire, Rules: i.belief, Ended: i.ended, Turned: i.turned,
		Plain:  &relay.Plain{Dialect: wire, Pool: i.pool, Upstreams: i.router, Budget: i.router, Suspects: i.router},
		Models: &relay.Models{Dialect: wire, Pool: i.pool, Paths: i.router, Budget: i.router, Suspects: i.router},
	}
}

func (i *Instance) counter(name string) func() {
	c := i.meters.GetOrCreateCounter(name)
	return c.Inc
}

func (i *Instance) countCall(call string, err error) {
	end := "done"
	if err != nil {
		end = "failed"
	}
	i.meters.GetOrCreateCounter(`fulmarwick_store_calls_total{call="` + call + `",end="` + end + `"}`).Inc()
}

// trace sends spans if the settings name a collector.
func (i *Instance) trace(ctx context.Context) error {
	s := i.Settings
	i.spans = &spans.Sender{URL: s.Trace.URL, Part: s.Trace.Part, Instance: s.Instance.Name, DataCentre: s.Instance.DataCentre}
	if err := i.spans.Open(ctx); err != nil {
		return err
	}
	if s.Trace.URL != "" {
		i.server.Spans = i.spans.Provider()
	}
	return nil
}

// Run serves until ctx ends or Stop is called, then finishes the requests in
// progress.
func (i *Instance) Run(ctx context.Context) error {
	i.build()
	i.Log.Info("edge: start", zap.String("instance", i.Settings.Instance.Name), zap.String("data centre", i.Settings.Instance.DataCentre),
		zap.String("callers", i.Settings.Listen.Callers), zap.String("store", i.Settings.Platform.Table), zap.String("build", i.Build))
	limitMemory(i.Settings.Limits.Memory)
	if err := i.trace(ctx); err != nil {
		return err
	}
	ends, err := i.listen(ctx)
	if err != nil {
		return err
	}
	inner, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	context.AfterFunc(ctx, i.halt.Begin)
	var g errgroup.Group
	for _, part := range i.parts() {
		g.Go(func() error { part(inner); return nil })
	}
	for _, e := range ends {
		g.Go(e.serve)
	}
	g.Go(func() error {
		defer stop()
		defer closeAll(ends)
		return i.finish(inner, ends)
	})
	err = g.Wait()
	if serr := i.spans.Close(); serr != nil {
		i.Log.Warn("edge: last spans not sent", zap.Error(serr))
	}
	i.Log.Info("edge: stop", zap.Error(err))
	return err
}

// parts run beside the servers.
func (i *Instance) parts() []func(context.Context) {
	follow := func(table string, wait, pause time.Duration) func(context.Context) {
		f := &feed.Follower{Table: table, Source: i.store, Sink: i.belief, Wait: wait, Pause: pause, Passive: i.crowd.logic.Passive, Log: i.Log}
		return f.Run
	}
	return []func(context.Context){
		follow(platform.TableConfig, configWait, configPause),
		follow(platform.TableUpstreams, listWait, listPause),
		i.watcher.run, i.planner.run, i.hold, i.sweep, i.crowd.run, i.crowd.enlist,
	}
}

// finish waits for the end of the graceful stop.
func (i *Instance) finish(ctx context.Context, ends []*end) error {
	if err := i.halt.Run(ctx, ends[0].server); err != nil {
		return errors.Wrap(err, "edge: stop")
	}
	return nil
}

// ready reports whether the balancer should send callers here.
func (i *Instance) ready() bool {
	return !i.halt.Stopping() && i.belief.ready()
}

// newHTTP returns a client for calls that are answered at once. Calls to the
// store that wait have their own timeouts. limit bounds new connections.
func newHTTP(dial func(ctx context.Context, network, address string) (net.Conn, error), limit time.Duration) *http.Client {
	if dial == nil {
		dial = (&net.Dialer{Timeout: limit, KeepAlive: -1}).DialContext
	}
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         dial,
			MaxIdleConnsPerHost: 4,
			IdleConnTimeout:     10 * time.Second,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}
