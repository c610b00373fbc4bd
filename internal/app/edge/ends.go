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
	// headerTime bounds the wait for a request's headers where the
	// configuration does not, idleTime is the least time for which an unused
	// connection stays open. Callers may use one that was idle for four fifths
	// of the configured limit, 15 s as a rule; closing it sooner would cut their
	// requests.
	headerTime = 10 * time.Second
	idleTime   = time.Minute
	// idleMost bounds the idle limit that a configuration may set.
	idleMost = 10 * time.Minute
	// heapPercent trades processor time of the garbage collector for memory,
	// which is paid for by its peak.
	heapPercent = 50
)

// limitMemory keeps the process below what it may take.
func limitMemory(most int64) {
	debug.SetGCPercent(heapPercent)
	if most > 0 {
		debug.SetMemoryLimit(most / 10 * 8)
	}
}

// end is one address that is served.
type end struct {
	name   string
	at     net.Listener
	server *http.Server
}

func (e *end) serve() error {
	if err := e.server.Serve(e.at); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrapf(err, "edge: serve %s", e.name)
	}
	return nil
}

func closeAll(ends []*end) {
	for _, e := range ends {
		_ = e.server.Close()
	}
}

// listen opens the addresses; that of callers is the first.
func (i *Instance) listen(ctx context.Context) ([]*end, error) {
	l := i.Settings.Listen
	quiet := log.New(io.Discard, "", 0)
	listen := i.Listen
	if listen == nil {
		listen = func(ctx context.Context, address string) (net.Listener, error) {
			return (&net.ListenConfig{}).Listen(ctx, "tcp", address)
		}
	}
	var ends []*end
	add := func(name, address string, h http.Handler) error {
		if address == "" {
			return nil
		}
		at, err := listen(ctx, address)
		if err != nil {
			return errors.Wrapf(err, "edge: listen for %s", name)
		}
		ends = append(ends, &end{name: name, at: at, server: &http.Server{
			Handler: h, ReadHeaderTimeout: headerTime, IdleTimeout: idleMost, ErrorLog: quiet,
		}})
		return nil
	}
	err := add("callers", l.Callers, i.halt.Handler(i.server))
	if err == nil {
		(&conns{limits: i.belief.limits}).bind(ends[0])
		err = add("ready", l.Ready, i.readiness())
	}
	if err == nil {
		err = add("mesh", l.Mesh, i.crowd.handler())
	}
	if err == nil {
		err = add("metrics", l.Metrics, i.metrics())
	}
	if err != nil {
		for _, e := range ends {
			_ = e.at.Close()
		}
		return nil, err
	}
	return ends, nil
}

// readiness answers the balancer at any path: which one it asks for is up to
// the platform.
func (i *Instance) readiness() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !i.ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
}

func (i *Instance) metrics() http.Handler {
	m := mux.NewRouter()
	m.HandleFunc("/metrics", func(w http.ResponseWriter, _ *http.Request) {
		i.meters.WritePrometheus(w)
	}).Methods(http.MethodGet)
	return m
}

// ended notes how a caller's request ended.
func (i *Instance) ended(c *relay.Call, r relay.Reply, status int, took time.Duration) {
	i.measure(c, r, status, took)
	if r.Reason == relay.ReasonNone && status < http.StatusInternalServerError {
		i.served(c, r, status, took)
		return
	}
	i.Log.Warn("edge: request not served", zap.String("request", c.Ask.ID), zap.String("route", c.Route.Name), zap.String("team", c.Team), zap.String("centre", i.Settings.Instance.DataCentre), zap.Int("status", status),
		zap.Stringer("reason", r.Reason), zap.Bool("ran", r.Ran), zap.Int("sent", r.Tried), zap.Duration("first", r.First), zap.Duration("pause", r.Pause), zap.Duration("took", took),
		zap.Any("upstreams", r.Upstreams), zap.Uint64("config", i.belief.Config().Version), zap.Duration("list age", i.belief.age()), i.scarce(c, r))
}

// turned notes a request that was turned away before it was read whole: without
// a configuration, a route or a key. Its path is that of the caller.
func (i *Instance) turned(r *http.Request, status int, reason string) {
	id := ""
	if ask, err := i.server.Dialect.Ask(r.Header); err == nil {
		id = ask.ID
	}
	i.meters.GetOrCreateCounter(`fulmarwick_edge_turned_total{status="` + strconv.Itoa(status) + `"}`).Inc()
	i.Log.Warn("edge: request turned away", zap.String("request", id), zap.Int("status", status), zap.String("reason", reason), zap.String("host", r.Host), zap.String("path", r.URL.Path))
}

// scarce tells of a request without room which layer had least.
func (i *Instance) scarce(c *relay.Call, r relay.Reply) zap.Field {
	if r.Reason != relay.ReasonFull && r.Reason != relay.ReasonKept {
		return zap.Skip()
	}
	layer, free := i.router.scarce(c.Service.Name)
	return zap.Dict("room", zap.Int("layer", layer), zap.Int("free", free))
}

// served notes an answer, and whether it missed the target of its route.
func (i *Instance) served(c *relay.Call, r relay.Reply, status int, took time.Duration) {
	first := took
	if c.Service.Model != nil {
		first = r.First
	}
	fields := []zap.Field{
		zap.String("request", c.Ask.ID), zap.String("route", c.Route.Name), zap.Int("status", status), zap.Int("sent", r.Tried),
		zap.Duration("first", first), zap.Duration("took", took), zap.Any("upstreams", r.Upstreams),
	}
	if first <= c.Route.Target && (c.Route.Gap == 0 || r.Pause <= c.Route.Gap) {
		i.Log.Info("edge: request served", fields...)
		return
	}
	i.Log.Warn("edge: answer late", append(fields, zap.String("team", c.Team), zap.String("centre", i.Settings.Instance.DataCentre), zap.Duration("target", c.Route.Target), zap.Duration("pause", r.Pause),
		zap.Duration("pause at", r.PauseAt), zap.Stringer("path", r.PausePath))...)
}

// measure counts how a request ended and how long it took.
func (i *Instance) measure(c *relay.Call, r relay.Reply, status int, took time.Duration) {
	kind := c.Route.Kind.String()
	i.meters.GetOrCreateCounter(`fulmarwick_edge_requests_total{kind="` + kind + `",status="` + strconv.Itoa(status) + `",reason="` + r.Reason.String() + `"}`).Inc()
	i.meters.GetOrCreateHistogram(`fulmarwick_edge_seconds{kind="` + kind + `"}`).Update(took.Seconds())
	if r.First > 0 {
		i.meters.GetOrCreateHistogram(`fulmarwick_edge_first_seconds`).Update(r.First.Seconds())
		i.meters.GetOrCreateHistogram(`fulmarwick_edge_pause_seconds`).Update(r.Pause.Seconds())
	}
}
