// Package stage is a stand-in model engine that holds ranges of layers of the
// model of fakes/layer and speaks the protocol of base/frame.
//
// It imports base/frame and fakes/layer. The trial command and tests run it.
package stage

import (
	"encoding/json"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"fulmarwick/internal/base/frame"
	"fulmarwick/internal/fakes/layer"

	"github.com/gorilla/mux"
	"github.com/gorilla/websocket"
)

// Engine is a stand-in engine. Set the exported fields before serving.
type Engine struct {
	Name       string
	DataCentre string
	Kind       string
	Holds      []frame.Hold
	// Layer is the time that one token takes through one layer; zero answers
	// at once.
	Layer time.Duration
	Slots int
	// Poison is a word whose presence in a prompt kills the engine; "" is none.
	Poison string

	once     sync.Once
	mu       sync.Mutex
	sessions map[key]*session
	conns    map[*websocket.Conn]bool
	slots    chan struct{}
	seq      atomic.Uint64
	active   atomic.Int64
	queued   atomic.Int64
	steps    atomic.Int64
	dead     atomic.Bool
	leaving  atomic.Bool
}

// Steps is how many layer runs of a position this engine has done.
func (e *Engine) Steps() int64 { return e.steps.Load() }

// Kill drops all connections and state, as a crash would.
func (e *Engine) Kill() {
	e.init()
	e.dead.Store(true)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sessions = map[key]*session{}
	for c := range e.conns {
		_ = c.Close()
	}
}

// Revive lets a killed engine serve again, with no state.
func (e *Engine) Revive() { e.dead.Store(false) }

// Leave marks the engine as leaving in its reports.
func (e *Engine) Leave() { e.leaving.Store(true) }

func (e *Engine) init() {
	e.once.Do(func() {
		e.sessions = map[key]*session{}
		e.conns = map[*websocket.Conn]bool{}
		e.slots = make(chan struct{}, max(1, e.Slots))
	})
}

// Handler serves the engine protocol.
func (e *Engine) Handler() http.Handler {
	e.init()
	r := mux.NewRouter()
	r.HandleFunc("/v1/engine", e.report).Methods(http.MethodGet)
	r.HandleFunc("/v1/steps", e.stream).Methods(http.MethodGet)
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if e.dead.Load() {
			panic(http.ErrAbortHandler)
		}
		r.ServeHTTP(w, req)
	})
}

func (e *Engine) report(w http.ResponseWriter, _ *http.Request) {
	state := frame.StateLive
	if e.leaving.Load() {
		state = frame.StateLeaving
	}
	body := frame.Engine{
		Name: e.Name, DataCentre: e.DataCentre, Kind: e.Kind, Holds: e.Holds,
		Layer: int64(e.Layer), Slots: max(1, e.Slots), State: state, Seq: e.seq.Add(1),
		Active: int(e.active.Load()), Queued: int(e.queued.Load()),
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}

func (e *Engine) stream(w http.ResponseWriter, req *http.Request) {
	up := websocket.Upgrader{ReadBufferSize: 64 << 10, WriteBufferSize: 64 << 10}
	c, err := up.Upgrade(w, req, nil)
	if err != nil {
		return
	}
	c.SetReadLimit(frame.MaxBytes)
	e.mu.Lock()
	e.conns[c] = true
	e.mu.Unlock()
	out := make(chan *frame.Reply, 256)
	done := make(chan struct{})
	go write(c, out, done)
	e.read(c, out, done)
	e.mu.Lock()
	delete(e.conns, c)
	e.mu.Unlock()
	_ = c.Close()
	close(done)
}

func write(c *websocket.Conn, out <-chan *frame.Reply, done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case r := <-out:
			data, err := frame.EncodeReply(r)
			if err == nil {
				err = c.WriteMessage(websocket.BinaryMessage, data)
			}
			if err != nil {
				_ = c.Close()
				return
			}
		}
	}
}

func (e *Engine) read(c *websocket.Conn, out chan<- *frame.Reply, done <-chan struct{}) {
	for {
		_, data, err := c.ReadMessage()
		if err != nil {
			return
		}
		s, err := frame.DecodeStep(data)
		if err != nil {
			return
		}
		if s.Verb == frame.VerbCancel {
			e.cancel(s)
			continue
		}
		if e.Poison != "" && containsWord(s.Text, e.Poison) {
			e.Kill()
			return
		}
		go e.serve(s, out, done)
	}
}

func containsWord(text, word string) bool {
	want := layer.Split(word)[0]
	for _, t := range layer.Split(text) {
		if t == want {
			return true
		}
	}
	return false
}

func (e *Engine) cancel(s *frame.Step) {
	e.mu.Lock()
	defer e.mu.Unlock()
	k := key{req: s.Req, from: s.From}
	if ses := e.sessions[k]; ses != nil && ses.try <= s.Try {
		delete(e.sessions, k)
	}
}

// serve runs a step in one of the engine's slots, for as long as it takes.
func (e *Engine) serve(s *frame.Step, out chan<- *frame.Reply, done <-chan struct{}) {
	e.queued.Add(1)
	e.slots <- struct{}{}
	e.queued.Add(-1)
	e.active.Add(1)
	defer func() {
		e.active.Add(-1)
		<-e.slots
	}()
	for i := 0; ; i++ {
		e.work(s)
		r := e.step(s)
		reply := *r
		reply.Index = i
		select {
		case out <- &reply:
		case <-done:
			return
		}
		if s.Verb != frame.VerbRun || r.Code != frame.CodeOK || r.Last || i+1 >= s.Count {
			return
		}
		s = next(s, r)
	}
}

// next is the step that a run goes on with after r.
func next(s *frame.Step, r *frame.Reply) *frame.Step {
	n := *s
	n.Seq++
	n.Pos = r.Pos + positions(s)
	n.Text = ""
	n.Tokens = []uint32{r.Token}
	return &n
}

func positions(s *frame.Step) int {
	n := len(s.Tokens) + len(s.Hidden)
	if s.Seq == 1 && s.From == 0 {
		n += len(layer.Split(s.Text))
	}
	return n
}

func (e *Engine) work(s *frame.Step) {
	e.steps.Add(int64(positions(s) * (s.To - s.From)))
	if e.Layer > 0 {
		time.Sleep(e.Layer * time.Duration(s.To-s.From))
	}
}
