package edge

import (
	"context"
	"net"
	"net/http"
	"time"

	"fulmarwick/internal/app/halt"
	"fulmarwick/internal/app/setup"
	"fulmarwick/internal/base/site"
	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/state/lease"
	"fulmarwick/internal/wire/bound"
	"fulmarwick/internal/wire/client"
	"fulmarwick/internal/wire/front"
	"fulmarwick/internal/wire/guard"
	"fulmarwick/internal/wire/relay"
	"fulmarwick/platform"

	"github.com/VictoriaMetrics/metrics"
	"github.com/google/uuid"
	"go.uber.org/zap"
)

// ensureInit creates the parts once: a signal may arrive before Run did it.
func (i *Instance) ensureInit() { i.once.Do(i.initParts) }

// initParts creates the parts and connects them.
func (i *Instance) initParts() {
	s := i.Settings
	i.meters = metrics.NewSet()
	i.closedGates, i.reserves = map[string]bool{}, map[string]bool{}
	i.drainer = &halt.Drainer{Grace: s.Times.Grace, MaxAccept: maxAcceptAfterStop, KillAfter: s.Times.Kill, AfterClose: front.StoppingHandler{}, Log: i.Log}
	i.initAccount()
	i.state = newStateView(i.Log)
	i.router = &router{
		centre: spec.DataCentre(s.Instance.DataCentre), start: time.Now(),
		retryBounds: s.Retry, services: map[string]*serviceState{}, sharesTeams: s.Balance.Teams == setup.TeamsFleet, stopped: make(chan struct{}),
	}
	i.pool = &client.Pool{DialTimeout: dialTimeout, Dial: i.Dial, OnDial: i.counter(`fulmarwick_connections_total`)}
	i.store = &platform.Store{BaseURL: s.Platform.Table, HTTP: newHTTP(i.Dial, dialTimeout), UserAgent: s.Instance.Name, OnCall: i.countStoreCall, OnEra: i.handleStoreEra}
	i.meters.NewGauge(`fulmarwick_store_era`, func() float64 { return float64(i.store.Era()) })
	calls := &platform.EngineClient{HTTP: newHTTP(i.dialUpstream, 0), OnNotice: i.router.recordNoticeAt, OnCall: i.router.takeCallAt}
	owner := uuid.NewString()
	i.lease = &lease.Lease{Table: i.store, Duty: planLeaseName, Owner: owner, Duration: leaseDuration, Margin: leaseMargin, Meters: i.meters}
	i.watcher = newWatcher(i.router, calls, i.Log)
	if i.NewTicker != nil {
		i.watcher.newTicker = i.NewTicker
	}
	late := i.meters.GetOrCreateFloatCounter(`fulmarwick_late_seconds_total`)
	i.watcher.countLostTime = func(d time.Duration) { late.Add(d.Seconds()) }
	i.watcher.countProbe = i.counter(`fulmarwick_reports_total`)
	i.watcher.countMove = func(kind string) { i.meters.GetOrCreateCounter(`fulmarwick_moves_total{how="` + kind + `"}`).Inc() }
	i.watcher.countSilence = func(end string) { i.meters.GetOrCreateCounter(`fulmarwick_silences_total{end="` + end + `"}`).Inc() }
	i.planner = &planner{
		router: i.router, engines: calls, lease: i.lease, log: i.Log, start: time.Now(), lastOrders: map[spec.UpstreamID]sentOrder{}, movesDueSince: map[string]time.Time{}, plans: map[string]cachedPlan{},
		countPlan:  i.counter(`fulmarwick_plans_total`),
		countOrder: func(kind string) { i.meters.GetOrCreateCounter(`fulmarwick_orders_total{end="` + kind + `"}`).Inc() },
	}
	i.mesh = &meshNode{
		id: spec.InstanceID(s.Instance.Name), centre: spec.DataCentre(s.Instance.DataCentre), url: "http://" + s.Listen.Mesh, constrained: isConstrained(s.Limits),
		store: i.store, state: i.state, router: i.router, log: i.Log, dial: i.Dial, meters: i.meters, countBehind: i.counter(`fulmarwick_behind_total`),
	}
	i.links = &linkWatcher{start: time.Now(), addresses: i.router.readyAddresses, open: i.pool.Open, isBusy: i.watcher.isBusy, log: i.Log, doubtful: make(chan struct{}, 1)}
	i.links.onLost = func() { i.pool.CloseUnused(nil) }
	i.watcher.links, i.router.linksLost = i.links, i.links.confirmLost
	i.links.register(i.meters)
	i.pool.OnDialed = i.links.recordDial
	i.passer = newPasser(s.Instance.DataCentre, i.Log, i.meters)
	i.passer.links, i.passer.drainer = i.links, i.drainer
	i.culprits = newCulpritTable(i.store, i.router, i.Log)
	i.connectParts()
}

// initAccount creates the account of callers. A stop evicts those that it does not wait for.
func (i *Instance) initAccount() {
	i.account = guard.NewMachineAccount(i.Settings.Limits.Memory, i.Settings.Limits.Descriptors)
	i.account.OnEvict = func(w guard.Wait) { i.Log.Warn("edge: caller evicted", zap.Stringer("wait", w)) }
	i.account.Register(i.meters)
	i.drainer.OnWait = i.account.EvictStalled
	context.AfterFunc(i.drainer.LastCall(), i.account.EvictReaders)
}

// bodyMemoryShare is the part of the process's memory that bodies of upstreams may take together: one
// tenth, so that upstreams whose bodies have no end can't use up the memory of a small instance.
const bodyMemoryShare = 10

// connectParts sets the callbacks between the parts.
func (i *Instance) connectParts() {
	ctx := context.Background()
	i.router.onSuspect = func(up site.Upstream) { i.watcher.startProbe(ctx, up, false) }
	i.router.isDead = i.watcher.isDead
	i.router.connect = func(up site.Upstream) error { return i.pool.Probe(ctx, up.Address) }
	i.state.onConfig = i.router.setConfig
	i.state.onRestore = i.rewriteStored
	i.router.onNotice = i.recordNotice
	i.router.onRateLimit = i.logRateLimit
	i.router.onCrash = i.logCrash
	i.router.onSuspectRun = i.logSuspectRun
	i.router.onStanding = i.changeStanding
	i.router.onAttemptReleased = i.logAttemptReleased
	i.router.takeTrials = i.culprits.takeTrials
	i.state.onList = func(list []site.Upstream) {
		list = i.router.applyNotices(list)
		i.router.setList(list)
		i.planner.noteListSize(list)
		i.watcher.updateLeaving(list)
	}
	i.mesh.onReportedSilent = func(id spec.UpstreamID) { i.watcher.handleReportedSilent(ctx, id) }
	i.watcher.onSilent = i.mesh.addSilent
	i.mesh.initHub()
	i.mesh.logic.LinksLost = i.links.areLost
	i.mesh.logic.TakesRequests = func() bool { return !i.drainer.Stopping() }
	i.router.instanceCount = i.mesh.logic.Count
	i.router.retryBudgetSharers = i.mesh.logic.BudgetShares
	i.router.expectsLoad = func() bool {
		source := i.Settings.Balance.Load
		return source == setup.LoadExpected || source == setup.LoadAuto && i.mesh.logic.HasConstrained()
	}
	i.router.limits.Share = i.mesh.logic.LimitShare
	i.passer.hub, i.passer.neighbors = i.mesh.hub, i.mesh.logic.Neighbors
	i.mesh.hub.RequestServer = i.passer
	codec := platform.HeaderCodec{}
	memory := &bound.Memory{Max: i.Settings.Limits.Memory / bodyMemoryShare}
	i.meters.NewGauge(`fulmarwick_body_bytes`, func() float64 { return float64(memory.Used()) })
	i.server = &front.Server{
		Dialect: codec, ConfigSource: i.state, Account: i.account, LastCall: i.drainer.LastCall(), OnRequestEnd: i.recordEnd, OnReject: i.recordRejected, OnPanic: i.recordPanic,
		PlainRunner: &relay.PlainRunner{Dialect: codec, Pool: i.pool, Upstreams: i.router, RetryBudget: i.router, Notices: i.router, CrashTracker: i.router, Peers: i.passer, Memory: memory},
		ModelRunner: &relay.ModelRunner{Dialect: codec, Pool: i.pool, Paths: i.router, RetryBudget: i.router, Notices: i.router, CrashTracker: i.router, Peers: i.passer, Memory: memory},
	}
	i.passer.server = i.server
}

// dialUpstream opens a connection for a report or an order, and records the outcome. The timeouts
// of report requests count only the time in which this process ran; dialing must not time out
// sooner.
func (i *Instance) dialUpstream(ctx context.Context, network, address string) (net.Conn, error) {
	dial := i.Dial
	if dial == nil {
		dial = (&net.Dialer{Timeout: maxProbeWallTime, KeepAlive: -1}).DialContext
	}
	conn, err := dial(ctx, network, address)
	if err == nil || ctx.Err() == nil {
		i.links.recordDial(address, err)
	}
	return conn, err
}

// counter returns a function that increments a counter.
func (i *Instance) counter(name string) func() {
	c := i.meters.GetOrCreateCounter(name)
	return c.Inc
}

// countStoreCall counts a call to the store by its outcome.
func (i *Instance) countStoreCall(call string, err error) {
	outcome := "done"
	if err != nil {
		outcome = "failed"
	}
	i.meters.GetOrCreateCounter(`fulmarwick_store_calls_total{call="` + call + `",end="` + outcome + `"}`).Inc()
}

// newHTTP returns an HTTP client for calls that are answered at once; long polls of the
// store set their own timeouts. timeout limits the time to connect if dial is nil.
func newHTTP(dial func(ctx context.Context, network, address string) (net.Conn, error), timeout time.Duration) *http.Client {
	if dial == nil {
		dial = (&net.Dialer{Timeout: timeout, KeepAlive: -1}).DialContext
	}
	return &http.Client{
		Transport: &http.Transport{
			DialContext:            dial,
			MaxIdleConnsPerHost:    4,
			IdleConnTimeout:        10 * time.Second,
			MaxResponseHeaderBytes: bound.MaxHeadBytes,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}
