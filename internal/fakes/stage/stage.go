// Package stage is a fake model engine. It holds ranges of layers of the model
// of fakes/layer and implements the protocol of base/frame.
//
// It imports base/frame and fakes/layer. The trial command and tests run it.
package stage

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"fulmarwick/internal/base/frame"

	"github.com/gorilla/mux"
)

// defaultGrace is how long a state is kept after its connection breaks if Grace
// is zero.
const defaultGrace = 5 * time.Second

// Engine is a fake engine. Set the exported fields before serving.
type Engine struct {
	Name       string
	DataCentre string
	Kind       string
	Role       string
	// Holds are the ranges loaded at start. Orders change them later.
	Holds []frame.LoadedLayers
	// LayerTime is the time that one layer takes for a step; zero means none.
	LayerTime time.Duration
	// Slots is how many steps run concurrently; zero means one.
	Slots int
	// Memory is the capacity for weights in layers; zero means unlimited.
	Memory int
	// Cache is the capacity of the prefix cache in prompt blocks.
	Cache int
	// HopTime is the time of one hop.
	HopTime time.Duration
	// Bandwidth is the bandwidth of the link in bytes per second; zero means
	// unlimited.
	Bandwidth int64
	// Fenced makes the engine refuse orders with an old fencing number. Other
	// engines accept any order.
	Fenced bool
	// WeightStore limits how fast weights load; nil means they load at once.
	WeightStore *WeightStore
	// ReportLag is how old the load in a report may be.
	ReportLag time.Duration
	// EventLag is how long cache events are held back.
	EventLag time.Duration
	// SkipEvent, if set, selects cache events that are never sent.
	SkipEvent func(seq uint64) bool
	// Grace is how long a state is kept after its connection breaks; zero
	// means 5 s.
	Grace time.Duration
	// Idle is how long an unused state is kept; zero means forever.
	Idle time.Duration
	// OnFirstStep, if set, is called with the traceparent of each state's
	// first step.
	OnFirstStep func(traceparent string)
	// Poison is a word that kills the engine if a prompt contains it; "" means
	// none.
	Poison string
	// Faults, if set, selects the fault injected into the reply of a step.
	Faults func(*frame.Step) Fault
	// ReplyDelay is the delay of FaultDelay.
	ReplyDelay time.Duration

	once       sync.Once
	mu         sync.Mutex
	frozen     bool
	thawed     *sync.Cond
	epoch      uint64
	loaded     []frame.LoadedLayers
	fence      uint64
	orderCount uint64
	role       string
	sessions   map[key]*session
	links      map[*link]bool
	waiting    queue
	busy       map[*work]bool
	arrivals   uint64
	running    int
	load       load
	cache      cache
	seq        uint64
	layerRuns  atomic.Int64
	dead       atomic.Bool
	leaving    atomic.Bool
}

// load is the reported load, measured at time at.
type load struct {
	at             time.Time
	active, queued int
}

// Steps returns how many layer executions of single positions this engine has
// done.
func (e *Engine) Steps() int64 { return e.layerRuns.Load() }

// Sessions returns the number of request states that the engine keeps.
func (e *Engine) Sessions() int {
	e.init()
	e.lock()
	defer e.mu.Unlock()
	e.expire()
	return len(e.sessions)
}

// Kill drops all connections and state, like a crash.
func (e *Engine) Kill() {
	e.init()
	e.dead.Store(true)
	e.lock()
	defer e.mu.Unlock()
	e.epoch++
	e.seq = 0
	e.sessions = map[key]*session{}
	e.waiting = nil
	e.cache = cache{}
	for l := range e.links {
		_ = l.ws.Close()
	}
}

// Cut drops all connections and keeps the states, like a broken link.
func (e *Engine) Cut() {
	e.init()
	e.lock()
	defer e.mu.Unlock()
	for l := range e.links {
		_ = l.ws.Close()
	}
}

// Freeze makes the engine hang with its connections open until Thaw, like a
// stuck driver.
func (e *Engine) Freeze() {
	e.init()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.frozen = true
}

// Thaw ends a Freeze.
func (e *Engine) Thaw() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.frozen = false
	e.thawed.Broadcast()
}

// lock locks the engine. While it is frozen, it waits for Thaw first, on a condition rather than
// on the mutex, so that the virtual time of testing/synctest goes on.
func (e *Engine) lock() {
	e.mu.Lock()
	for e.frozen {
		e.thawed.Wait()
	}
}

// Dead reports whether the engine was killed and not revived.
func (e *Engine) Dead() bool { return e.dead.Load() }

// Revive makes a killed engine serve again, without state and with a new
// incarnation number.
func (e *Engine) Revive() { e.dead.Store(false) }

// Leave marks the engine as leaving in its reports.
func (e *Engine) Leave() { e.leaving.Store(true) }

func (e *Engine) init() {
	e.once.Do(func() {
		e.sessions = map[key]*session{}
		e.links = map[*link]bool{}
		e.busy = map[*work]bool{}
		e.loaded = slices.Clone(e.Holds)
		e.role = e.Role
		e.epoch = 1
		e.thawed = sync.NewCond(&e.mu)
	})
}

// Handler returns the HTTP handler of the engine protocol. While the engine is
// dead, it aborts each connection.
func (e *Engine) Handler() http.Handler {
	e.init()
	r := mux.NewRouter()
	r.HandleFunc("/v1/engine", e.handleReport).Methods(http.MethodGet)
	r.HandleFunc("/v1/steps", e.handleSteps).Methods(http.MethodGet)
	r.HandleFunc("/v1/events", e.handleEvents).Methods(http.MethodGet)
	r.HandleFunc("/v1/orders", e.handleOrder).Methods(http.MethodPost)
	r.HandleFunc("/v1/kv", e.exportKV).Methods(http.MethodGet)
	r.HandleFunc("/v1/kv", e.importKV).Methods(http.MethodPut)
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if e.dead.Load() {
			panic(http.ErrAbortHandler)
		}
		r.ServeHTTP(w, req)
	})
}

func (e *Engine) handleReport(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, e.Report())
}

// Report returns the engine's current report. Its load figures are up to
// ReportLag old.
func (e *Engine) Report() frame.Engine {
	e.init()
	e.lock()
	defer e.mu.Unlock()
	e.expire()
	if now := time.Now(); e.load.at.IsZero() || now.Sub(e.load.at) >= e.ReportLag {
		e.load = load{at: now, active: e.running, queued: len(e.waiting)}
	}
	e.seq++
	state := frame.StateLive
	if e.leaving.Load() {
		state = frame.StateLeaving
	}
	return frame.Engine{
		Name: e.Name, DataCentre: e.DataCentre, Kind: e.Kind, Role: e.role,
		Holds: slices.Clone(e.loaded), Layer: int64(e.LayerTime), Slots: max(1, e.Slots),
		Memory: e.Memory, Cache: e.Cache, Cached: len(e.cache.blocks),
		Fenced: e.Fenced, Fence: e.fence, State: state, Incarnation: e.epoch, Seq: e.seq,
		Active: e.load.active, Queued: e.load.queued,
		Link: e.HopTime.Microseconds(), Bandwidth: e.Bandwidth,
	}
}

func (e *Engine) incarnationHeader() string {
	e.lock()
	defer e.mu.Unlock()
	return strconv.FormatUint(e.epoch, 10)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
