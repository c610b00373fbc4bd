package edge

import (
	"context"
	"io"
	"log"
	"net"
	"net/http"
	"runtime/debug"
	"strconv"
	"time"

	"fulmarwick/internal/base/site"
	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/wire/bound"
	"fulmarwick/internal/wire/guard"
	"fulmarwick/internal/wire/relay"

	"github.com/go-faster/errors"
	"github.com/gorilla/mux"
	"go.uber.org/zap"
)

const (
	// headerTimeout limits the wait for the header of a request. A configuration can
	// only shorten it.
	headerTimeout = 10 * time.Second
	// minIdleTimeout is the least time for which an idle connection stays open. Callers
	// may use a connection that was idle for four fifths of the configured limit,
	// usually 15 s; closing it sooner would break off their requests.
	minIdleTimeout = time.Minute
	// maxIdleTimeout limits the idle timeout that a configuration may set.
	maxIdleTimeout = 10 * time.Minute
	// writeTimeout is how long a caller may take nothing of its answer before its connection is closed:
	// far longer than a caller waits for an event.
	writeTimeout = 10 * time.Second
)

// limitMemory sets the limits of the garbage collector for a process that may use so many
// bytes; 0 sets no memory limit. Memory is billed by its peak, also where it has no limit.
func limitMemory(maxBytes int64) {
	debug.SetGCPercent(guard.GCPercent)
	guard.LimitHeap(maxBytes)
}

// endpoint is an address with the server that listens on it.
type endpoint struct {
	name     string
	listener net.Listener
	server   *http.Server
}

// serve serves the endpoint until its server is closed.
func (e *endpoint) serve() error {
	if err := e.server.Serve(e.listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrapf(err, "edge: serve %s", e.name)
	}
	return nil
}

// closeEndpoints closes the servers at once.
func closeEndpoints(endpoints []*endpoint) {
	for _, e := range endpoints {
		_ = e.server.Close()
	}
}

// listen opens the configured addresses. The endpoint of callers is the first.
func (i *Instance) listen(ctx context.Context) ([]*endpoint, error) {
	l := i.Settings.Listen
	discardLog := log.New(io.Discard, "", 0)
	listen := i.Listen
	if listen == nil {
		listen = func(ctx context.Context, address string) (net.Listener, error) {
			return (&net.ListenConfig{}).Listen(ctx, "tcp", address)
		}
	}
	var endpoints []*endpoint
	add := func(name, address string, h http.Handler, g *guard.Guard) error {
		if address == "" {
			return nil
		}
		listener, err := listen(ctx, address)
		if err != nil {
			return errors.Wrapf(err, "edge: listen for %s", name)
		}
		server := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: maxIdleTimeout, ErrorLog: discardLog}
		endpoints = append(endpoints, &endpoint{name: name, listener: g.Attach(server, listener), server: server})
		return nil
	}
	err := add("callers", l.Callers, i.drainer.Handler(i.server), i.callersGuard())
	if err == nil {
		err = add("ready", l.Ready, i.readinessHandler(), guard.NewInternal(0))
	}
	if err == nil {
		mesh := guard.NewInternal(0)
		mesh.Upgrades = true
		err = add("mesh", l.Mesh, i.mesh.handler(), mesh)
	}
	if err == nil {
		err = add("metrics", l.Metrics, i.metricsHandler(), guard.NewInternal(0))
	}
	if err != nil {
		for _, e := range endpoints {
			_ = e.listener.Close()
		}
		return nil, err
	}
	return endpoints, nil
}

// callersGuard limits the connections of callers as the configuration in force says.
func (i *Instance) callersGuard() *guard.Guard {
	return &guard.Guard{
		Account: i.account, Refuse: http.HandlerFunc(i.server.RefuseNoRoom),
		Limits: func() guard.Limits { return connLimits(i.state.Config()) },
	}
}

// connLimits returns the limits of a caller's connection by a configuration; nil if none is known yet.
func connLimits(config *site.Config) guard.Limits {
	limits := site.Limits{MaxHeaderBytes: bound.MaxHeadBytes}
	if config != nil {
		limits = config.Limits
	}
	return guard.Limits{
		HeadBytes: limits.MaxHeaderBytes, HeadTimeout: capTimeout(limits.HeaderTimeout, headerTimeout),
		IdleTimeout: max(minIdleTimeout, limits.IdleTimeout), WriteTimeout: writeTimeout,
	}
}

// capTimeout returns a configured timeout, limited to maxTimeout, or maxTimeout if none is
// configured.
func capTimeout(d, maxTimeout time.Duration) time.Duration {
	if d <= 0 {
		return maxTimeout
	}
	return min(d, maxTimeout)
}

// readinessHandler answers the readiness checks of the balancer. It accepts any path, since
// the platform decides which one is requested.
func (i *Instance) readinessHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !i.ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
}

// metricsHandler serves the metrics of the instance.
func (i *Instance) metricsHandler() http.Handler {
	m := mux.NewRouter()
	m.HandleFunc("/metrics", func(w http.ResponseWriter, _ *http.Request) {
		i.meters.WritePrometheus(w)
	}).Methods(http.MethodGet)
	return m
}

// recordEnd counts and logs how a caller's request ended.
func (i *Instance) recordEnd(c *relay.Call, r relay.Reply, status int, took time.Duration) {
	i.updateMetrics(c, r, status, took)
	if r.Reason == relay.ReasonNone && status < http.StatusInternalServerError {
		i.logServed(c, r, status, took)
		return
	}
	i.Log.Warn("edge: request not served", zap.String("request", c.ParsedHeader.ID), zap.String("route", c.Route.Name), zap.String("team", c.Team), zap.String("centre", i.Settings.Instance.DataCentre), zap.Int("status", status),
		zap.Stringer("reason", r.Reason), zap.Bool("ran", r.MayHaveRun), zap.Int("sent", r.SendCount), zap.Duration("first", r.FirstEventLatency), zap.Duration("pause", r.MaxEventGap), zap.Duration("took", took),
		zap.Duration("left", time.Until(c.Deadline)), zap.Any("upstreams", r.Upstreams), zap.Uint64("config", i.state.Config().Version), zap.Duration("list age", i.state.age()), i.scarcestLayerField(c, r))
}

// logAttemptReleased counts and logs an engine that does not count as an attempt of a request any more.
func (i *Instance) logAttemptReleased(c *relay.Call, id spec.UpstreamID, evidence string) {
	i.meters.GetOrCreateCounter(`fulmarwick_attempts_released_total{evidence="` + evidence + `"}`).Inc()
	i.Log.Info("edge: attempt released", zap.String("request", c.ParsedHeader.ID), zap.String("engine", string(id)), zap.String("evidence", evidence))
}

// recordRejected counts and logs a request that was rejected before it was read whole,
// because there was no configuration, route or key. The logged path is the URL path that
// the caller sent.
func (i *Instance) recordRejected(r *http.Request, status int, reason string) {
	i.meters.GetOrCreateCounter(`fulmarwick_edge_turned_total{status="` + strconv.Itoa(status) + `"}`).Inc()
	i.Log.Warn("edge: request turned away", zap.String("request", i.requestID(r)), zap.Int("status", status), zap.String("reason", reason), zap.String("host", r.Host), zap.String("path", r.URL.Path))
}

// requestID returns the ID of a caller's request, empty if its headers are malformed.
func (i *Instance) requestID(r *http.Request) string {
	header, err := i.server.Dialect.ParseRequest(r.Header)
	if err != nil {
		return ""
	}
	return header.ID
}

// recordPanic counts and logs a panic while a request was served: its caller got no answer.
func (i *Instance) recordPanic(r *http.Request, value any) {
	i.meters.GetOrCreateCounter(`fulmarwick_edge_panics_total`).Inc()
	i.Log.Error("edge: request handler panicked", zap.String("request", i.requestID(r)), zap.Any("panic", value), zap.Stack("stack"))
}

// scarcestLayerField returns a log field with the layer that has the least free KV memory,
// for a request that was rejected for lack of capacity.
func (i *Instance) scarcestLayerField(c *relay.Call, r relay.Reply) zap.Field {
	if r.Reason != relay.ReasonNoCapacity && r.Reason != relay.ReasonReserved && r.Reason != relay.ReasonLessUrgent {
		return zap.Skip()
	}
	layer, free := i.router.scarcestLayer(c.Service.Name)
	return zap.Dict("room", zap.Int("layer", layer), zap.Int("free", free))
}

// logServed logs a complete answer, as a warning if it missed the target of its route.
func (i *Instance) logServed(c *relay.Call, r relay.Reply, status int, took time.Duration) {
	first := took
	if c.Service.Model != nil {
		first = r.FirstEventLatency
	}
	fields := []zap.Field{
		zap.String("request", c.ParsedHeader.ID), zap.String("route", c.Route.Name), zap.Int("status", status), zap.Int("sent", r.SendCount),
		zap.Duration("first", first), zap.Duration("took", took), zap.Any("upstreams", r.Upstreams),
	}
	if first <= c.Route.TargetLatency && (c.Route.TargetGap == 0 || r.MaxEventGap <= c.Route.TargetGap) {
		i.Log.Info("edge: request served", fields...)
		return
	}
	i.Log.Warn("edge: answer late", append(fields, zap.String("team", c.Team), zap.String("centre", i.Settings.Instance.DataCentre), zap.Duration("target", c.Route.TargetLatency), zap.Duration("pause", r.MaxEventGap),
		zap.Duration("pause at", r.MaxEventGapEnd), zap.Stringer("path", r.MaxEventGapPath))...)
}

// updateMetrics counts how a request ended and how long it took.
func (i *Instance) updateMetrics(c *relay.Call, r relay.Reply, status int, took time.Duration) {
	kind := c.Route.Kind.String()
	i.meters.GetOrCreateCounter(`fulmarwick_edge_requests_total{kind="` + kind + `",status="` + strconv.Itoa(status) + `",reason="` + r.Reason.String() + `"}`).Inc()
	i.meters.GetOrCreateHistogram(`fulmarwick_edge_seconds{kind="` + kind + `"}`).Update(took.Seconds())
	if r.FirstEventLatency > 0 {
		i.meters.GetOrCreateHistogram(`fulmarwick_edge_first_seconds`).Update(r.FirstEventLatency.Seconds())
		i.meters.GetOrCreateHistogram(`fulmarwick_edge_pause_seconds`).Update(r.MaxEventGap.Seconds())
	}
}
