// Package stage is a stand-in model engine that holds ranges of layers of the
// model of fakes/layer and speaks the protocol of base/frame.
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

// defaultGrace is how long states outlive their connection if Grace is zero.
const defaultGrace = 5 * time.Second

// Engine is a stand-in engine. Set the exported fields before serving.
type Engine struct {
	Name       string
	DataCentre string
	Kind       string
	Role       string
	// Holds are the ranges loaded at start; orders change what is loaded.
	Holds []frame.Hold
	// Layer is the time that one token takes through one layer; zero answers
	// at once.
	Layer time.Duration
	// Slots is how many steps run at once; zero is one.
	Slots int
	// Memory is in layers and Cache in prompt blocks; zero Memory is unbounded.
	Memory int
	Cache  int
	// Link is the time of one hop and Bandwidth, in bytes a second, of the
	// link; zero is unbounded.
	Link      time.Duration
	Bandwidth int64
	// Fenced says that orders with an old fencing number are refused; other
	// engines take any order.
	Fenced bool
	// Store limits how fast weights load; nil loads at once.
	Store *Weights
	// Lag is how old the load in a report may be, EventLag how late cache
	// events show, and Gap, if set, picks events that are never shown.
	Lag      time.Duration
	EventLag time.Duration
	Gap      func(seq uint64) bool
	// Grace is how long a state outlives its connection (zero is 5 s), Idle
	// how long it is kept unused (zero is for ever).
	Grace time.Duration
	Idle  time.Duration
	// Traced, if set, is told the traceparent of each state's first step.
	Traced func(traceparent string)
	// Poison is a word whose presence in a prompt kills the engine; "" is none.
	Poison string
	// Faults, if set, picks what happens to the reply of a step; Late is the
	// delay of FaultDelay.
	Faults func(*frame.Step) Fault
	Late   time.Duration

	once       sync.Once
	mu         sync.Mutex
	epoch      uint64
	loaded     []frame.Hold
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

// load is what a report says of the load, as of at.
type load struct {
	at             time.Time
	active, queued int
}

// Steps is how many layer runs of a position this engine has done.
func (e *Engine) Steps() int64 { return e.layerRuns.Load() }

// Sessions is how many request states the engine keeps.
func (e *Engine) Sessions() int {
	e.init()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.expire()
	return len(e.sessions)
}

// Kill drops all connections and state, as a crash would.
func (e *Engine) Kill() {
	e.init()
	e.dead.Store(true)
	e.mu.Lock()
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

// Cut drops all connections and keeps the states, as a broken link would.
func (e *Engine) Cut() {
	e.init()
	e.mu.Lock()
	defer e.mu.Unlock()
	for l := range e.links {
		_ = l.ws.Close()
	}
}

// Freeze has the engine hang with its connections open, as a stuck driver
// does, until Thaw.
func (e *Engine) Freeze() {
	e.init()
	e.mu.Lock()
}

// Thaw ends a Freeze.
func (e *Engine) Thaw() { e.mu.Unlock() }

// Dead reports whether the engine was killed and not revived.
func (e *Engine) Dead() bool { return e.dead.Load() }

// Revive lets a killed engine serve again, with no state and as a new
// incarnation.
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
	})
}

// Handler serves the engine protocol.
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

// Report is what the engine says of itself now.
func (e *Engine) Report() frame.Engine {
	e.init()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.expire()
	if now := time.Now(); e.load.at.IsZero() || now.Sub(e.load.at) >= e.Lag {
		e.load = load{at: now, active: e.running, queued: len(e.waiting)}
	}
	e.seq++
	state := frame.StateLive
	if e.leaving.Load() {
		state = frame.StateLeaving
	}
	return frame.Engine{
		Name: e.Name, DataCentre: e.DataCentre, Kind: e.Kind, Role: e.role,
		Holds: slices.Clone(e.loaded), Layer: int64(e.Layer), Slots: max(1, e.Slots),
		Memory: e.Memory, Cache: e.Cache, Cached: len(e.cache.blocks),
		Fenced: e.Fenced, Fence: e.fence, State: state, Incarnation: e.epoch, Seq: e.seq,
		Active: e.load.active, Queued: e.load.queued,
		Link: e.Link.Microseconds(), Bandwidth: e.Bandwidth,
	}
}

func (e *Engine) incarnationHeader() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return strconv.FormatUint(e.epoch, 10)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
