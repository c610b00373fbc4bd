package chain_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"fulmarwick/internal/base/frame"
	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/fakes/inmem"
	"fulmarwick/internal/fakes/layer"
	"fulmarwick/internal/fakes/stage"
	"fulmarwick/internal/route/domain"
	"fulmarwick/internal/wire/chain"
	"fulmarwick/internal/wire/engine"

	"github.com/VictoriaMetrics/metrics"
)

const model = "levy-13b"

// site is a set of fake engines behind a pool, with a router that uses a fixed
// plan or random chains.
type site struct {
	depth   int
	engines []*stage.Engine
	pool    *engine.Pool
	router  *router
	runner  *chain.Runner
	servers []*http.Server
	served  sync.WaitGroup
}

func newSite(depth int, engines ...*stage.Engine) *site {
	s := &site{depth: depth, engines: engines}
	listeners := map[string]*inmem.Listener{}
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		return listeners[strings.TrimSuffix(address, ":80")].Dial(ctx, network, address)
	}
	transport := &http.Transport{DialContext: dial, DisableKeepAlives: true}
	s.router = &router{site: s, requests: map[spec.RequestID]*routedRequest{}}
	s.pool = &engine.Pool{
		Dial: dial, HTTP: &http.Client{Transport: transport}, Post: s.router.Post, Meters: metrics.NewSet(),
	}
	for _, e := range engines {
		server := &http.Server{Handler: e.Handler()}
		l := inmem.Listen()
		listeners[e.Name] = l
		s.servers = append(s.servers, server)
		s.served.Go(func() { _ = server.Serve(l) })
		s.pool.SetAddress(spec.UpstreamID(e.Name), "http://"+e.Name)
	}
	s.runner = &chain.Runner{Engines: s.pool, Router: s.router}
	return s
}

func (s *site) close() {
	s.pool.Close()
	for _, server := range s.servers {
		_ = server.Close()
	}
	s.served.Wait()
	// Lets steps and frames in progress on the fake engines finish.
	time.Sleep(time.Second)
}

func (s *site) sessions() int {
	n := 0
	for _, e := range s.engines {
		n += e.Sessions()
	}
	return n
}

// router gives each request a chain, and another one when a stage is lost.
type router struct {
	site *site
	// plan, if set, returns the chain of the attempt; otherwise rand picks
	// one.
	plan func(attempt uint32, lost []spec.UpstreamID) spec.Chain
	rand *rand.Rand
	// limit is the maximum number of attempts of a request; values below 20
	// mean 20.
	limit uint32
	prio  map[spec.RequestID]int

	mu       sync.Mutex
	requests map[spec.RequestID]*routedRequest
	events   []domain.Event
}

type routedRequest struct {
	ch      chan domain.Command
	attempt uint32
	lost    []spec.UpstreamID
}

func (r *router) Watch(id spec.RequestID) <-chan domain.Command {
	r.mu.Lock()
	defer r.mu.Unlock()
	w := &routedRequest{ch: make(chan domain.Command, 4)}
	r.requests[id] = w
	return w.ch
}

func (r *router) Unwatch(id spec.RequestID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.requests, id)
}

func (r *router) Post(ev domain.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events = append(r.events, ev)
	switch ev := ev.(type) {
	case domain.RequestArrived:
		r.decide(ev.Request)
	case domain.StageLost:
		w := r.requests[ev.Request]
		if ev.Attempt != w.attempt {
			return
		}
		w.lost = append(w.lost, ev.Engine)
		r.decide(ev.Request)
	}
}

func (r *router) decide(id spec.RequestID) {
	w := r.requests[id]
	w.attempt++
	c := r.choose(w)
	if c == nil {
		w.ch <- domain.Refuse{Request: id, Reason: domain.ReasonRetriesExhausted, Ran: w.attempt > 1}
		return
	}
	w.ch <- domain.Start{Request: id, Attempt: w.attempt, Chain: c, Depth: r.site.depth, Priority: r.prio[id]}
}

func (r *router) choose(w *routedRequest) spec.Chain {
	if w.attempt > max(r.limit, 20) {
		return nil
	}
	if r.plan != nil {
		return r.plan(w.attempt, w.lost)
	}
	return r.randomChain()
}

// randomChain picks chains at random until one covers the whole model.
func (r *router) randomChain() spec.Chain {
	for range 1000 {
		if c := r.tryRandomChain(); c != nil {
			return c
		}
	}
	return nil
}

func (r *router) tryRandomChain() spec.Chain {
	var c spec.Chain
	for at := 0; at < r.site.depth; {
		e := r.site.engines[r.rand.IntN(len(r.site.engines))]
		report := e.Report()
		if len(report.Holds) == 0 || report.Holds[0].From > at || report.Holds[0].To <= at {
			return nil
		}
		end := at + 1 + r.rand.IntN(report.Holds[0].To-at)
		if r.rand.IntN(2) == 0 {
			end = report.Holds[0].To
		}
		c = append(c, spec.NewStage(spec.UpstreamID(e.Name), spec.NewLayers(at, end)))
		at = end
	}
	return c
}

func (r *router) lost() []domain.StageLost {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []domain.StageLost
	for _, ev := range r.events {
		if l, ok := ev.(domain.StageLost); ok {
			out = append(out, l)
		}
	}
	return out
}

// answer is what a caller received.
type answer struct {
	text   strings.Builder
	next   int
	result chain.Result
	err    error
}

// ask runs one request. If each is set, it is called after every token.
func (s *site) ask(ctx context.Context, id, text string, limit int, each func(n int)) *answer {
	a := &answer{}
	job := chain.Job{Text: text, Arrived: domain.RequestArrived{Request: spec.RequestID(id), Model: model, MaxTokens: limit}}
	a.result, a.err = s.runner.Run(ctx, job, func(t chain.Token) error {
		if t.Index != a.next {
			return fmt.Errorf("index %d, want %d", t.Index, a.next)
		}
		a.next++
		a.text.WriteString(t.Text)
		if each != nil {
			each(a.next)
		}
		return nil
	})
	return a
}

// check compares the answer with the output of the whole model on one machine.
func (a *answer) check(text string, depth, limit int) error {
	if a.err != nil {
		return fmt.Errorf("got error %w, want none", a.err)
	}
	tokens := layer.Generate(text, depth, limit)
	if got, want := a.text.String(), layer.Text(tokens); got != want {
		return fmt.Errorf("got answer %q, want %q", got, want)
	}
	if a.result.Tokens != len(tokens) {
		return fmt.Errorf("got %d tokens, want %d", a.result.Tokens, len(tokens))
	}
	if want := len(tokens) < limit; a.result.Stop != want {
		return fmt.Errorf("got stop %t, want %t", a.result.Stop, want)
	}
	return nil
}

func (a *answer) mustMatch(t *testing.T, text string, depth, limit int) {
	t.Helper()
	if err := a.check(text, depth, limit); err != nil {
		t.Fatal(err)
	}
}

func newEngine(name string, depth, from, to int) *stage.Engine {
	return &stage.Engine{
		Name: name, Slots: 8, LayerTime: time.Millisecond,
		Holds: []frame.LoadedLayers{{Model: model, Version: "1", Depth: depth, From: from, To: to}},
	}
}

func stageOn(name string, from, to int) spec.Stage {
	return spec.NewStage(spec.UpstreamID(name), spec.NewLayers(from, to))
}
