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

	"fulmarwick/internal/wire/relay"

	"github.com/go-faster/errors"
	"github.com/gorilla/mux"
	"go.uber.org/zap"
)

const (
	// headerTimeout bounds the wait for a request's headers where the
	// configuration does not, idleTime is the least time for which an unused
	// connection stays open. Callers may use one that was idle for four fifths
	// of the configured limit, 15 s as a rule; closing it sooner would cut their
	// requests.
	headerTimeout  = 10 * time.Second
	minIdleTimeout = time.Minute
	// maxIdleTimeout bounds the idle limit that a configuration may set.
	maxIdleTimeout = 10 * time.Minute
	// gcPercent trades processor time of the garbage collector for memory,
	// which is paid for by its peak.
	gcPercent = 50
)

// limitMemory keeps the process below what it may take.
func limitMemory(most int64) {
	debug.SetGCPercent(gcPercent)
	if most > 0 {
		debug.SetMemoryLimit(most / 10 * 8)
	}
}

// endpoint is one address that is served.
type endpoint struct {
	name     string
	listener net.Listener
	server   *http.Server
}

func (e *endpoint) serve() error {
	if err := e.server.Serve(e.listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrapf(err, "edge: serve %s", e.name)
	}
	return nil
}

func closeEndpoints(ends []*endpoint) {
	for _, e := range ends {
		_ = e.server.Close()
	}
}

// listen opens the addresses; that of callers is the first.
func (i *Instance) listen(ctx context.Context) ([]*endpoint, error) {
	l := i.Settings.Listen
	quiet := log.New(io.Discard, "", 0)
	listen := i.Listen
	if listen == nil {
		listen = func(ctx context.Context, address string) (net.Listener, error) {
			return (&net.ListenConfig{}).Listen(ctx, "tcp", address)
		}
	}
	var ends []*endpoint
	add := func(name, address string, h http.Handler) error {
		if address == "" {
			return nil
		}
		at, err := listen(ctx, address)
		if err != nil {
			return errors.Wrapf(err, "edge: listen for %s", name)
		}
		ends = append(ends, &endpoint{name: name, listener: at, server: &http.Server{
			Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: maxIdleTimeout, ErrorLog: quiet,
		}})
		return nil
	}
	err := add("callers", l.Callers, i.drainer.Handler(i.server))
	if err == nil {
		(&connLimiter{limits: i.state.limits}).attach(ends[0])
		err = add("ready", l.Ready, i.readinessHandler())
	}
	if err == nil {
		err = add("mesh", l.Mesh, i.mesh.handler())
	}
	if err == nil {
		err = add("metrics", l.Metrics, i.metricsHandler())
	}
	if err != nil {
		for _, e := range ends {
			_ = e.listener.Close()
		}
		return nil, err
	}
	return ends, nil
}

// readinessHandler answers the balancer at any path: which one it asks for is up to
// the platform.
func (i *Instance) readinessHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !i.ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
}

func (i *Instance) metricsHandler() http.Handler {
	m := mux.NewRouter()
	m.HandleFunc("/metrics", func(w http.ResponseWriter, _ *http.Request) {
		i.meters.WritePrometheus(w)
	}).Methods(http.MethodGet)
	return m
}

// recordEnd notes how a caller's request ended.
func (i *Instance) recordEnd(c *relay.Call, r relay.Reply, status int, took time.Duration) {
	i.updateMetrics(c, r, status, took)
	if r.Reason == relay.ReasonNone && status < http.StatusInternalServerError {
		i.logServed(c, r, status, took)
		return
	}
	i.Log.Warn("edge: request not served", zap.String("request", c.ParsedHeader.ID), zap.String("route", c.Route.Name), zap.String("team", c.Team), zap.String("centre", i.Settings.Instance.DataCentre), zap.Int("status", status),
		zap.Stringer("reason", r.Reason), zap.Bool("ran", r.MayHaveRun), zap.Int("sent", r.SendCount), zap.Duration("first", r.FirstEventLatency), zap.Duration("pause", r.MaxEventGap), zap.Duration("took", took),
		zap.Any("upstreams", r.Upstreams), zap.Uint64("config", i.state.Config().Version), zap.Duration("list age", i.state.age()), i.scarcestLayerField(c, r))
}

// recordRejected notes a request that was turned away before it was read whole: without
// a configuration, a route or a key. Its path is that of the caller.
func (i *Instance) recordRejected(r *http.Request, status int, reason string) {
	id := ""
	if ask, err := i.server.Dialect.ParseRequest(r.Header); err == nil {
		id = ask.ID
	}
	i.meters.GetOrCreateCounter(`fulmarwick_edge_turned_total{status="` + strconv.Itoa(status) + `"}`).Inc()
	i.Log.Warn("edge: request turned away", zap.String("request", id), zap.Int("status", status), zap.String("reason", reason), zap.String("host", r.Host), zap.String("path", r.URL.Path))
}

// scarcestLayerField tells of a request without room which layer had least.
func (i *Instance) scarcestLayerField(c *relay.Call, r relay.Reply) zap.Field {
	if r.Reason != relay.ReasonNoCapacity && r.Reason != relay.ReasonReserved {
		return zap.Skip()
	}
	layer, free := i.router.scarcestLayer(c.Service.Name)
	return zap.Dict("room", zap.Int("layer", layer), zap.Int("free", free))
}

// logServed notes an answer, and whether it missed the target of its route.
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
