package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// lookupPath is what the tenant asks for.
const lookupPath = safePath + "job-17"

// crashes is how often an engine crashes.
const crashes = 4

func init() { cases["verdict"] = playVerdict }

// tally counts the requests of a tenant.
type tally struct{ asked, served atomic.Int64 }

func (t *tally) rate() float64 { return float64(t.served.Load()) / float64(max(1, t.asked.Load())) }

// rotation holds the machines to which the platform sends clients.
type rotation struct {
	mu    sync.Mutex
	nodes []*node
}

func (r *rotation) set(nodes ...*node) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.nodes = nodes
}

// pick returns a machine in rotation, another one than before if there is one.
func (r *rotation) pick(before *node) *node {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, i := range rand.Perm(len(r.nodes)) {
		if r.nodes[i] != before {
			return r.nodes[i]
		}
	}
	return before
}

// asker is a client that sends requests one after the other.
type asker struct {
	bench    *bench
	rotation *rotation
	tally    *tally
	pause    time.Duration
	next     func() request

	node *node
	conn *clientConn
}

// run sends requests until a time.
func (a *asker) run(until time.Time) {
	for time.Now().Before(until) {
		a.tally.asked.Add(1)
		if a.ask() {
			a.tally.served.Add(1)
		}
		time.Sleep(a.pause/2 + rand.N(a.pause))
	}
}

// ask sends a request, and once more on a new connection if it fails, as clients do with requests that may be
// repeated. It reports whether it was served.
func (a *asker) ask() bool {
	r := a.next()
	if r.deadline == 0 {
		r.deadline = 3 * time.Second
	}
	for attempt := range 2 {
		if attempt > 0 {
			r.id = newID()
		}
		if a.conn == nil {
			a.node = a.rotation.pick(a.node)
			var err error
			if a.conn, err = dial(a.node.front); err != nil {
				a.conn = nil
				continue
			}
		}
		o := a.conn.do(r)
		a.bench.rec.note("%s %s: %s", a.node.name, r.path, o)
		isServed := o.err == nil && o.status == http.StatusOK
		if !isServed || o.closes {
			_ = a.conn.Close()
			a.conn = nil
		}
		if isServed {
			return true
		}
		if after, err := strconv.ParseFloat(o.head.Get("Retry-After"), 64); err == nil {
			time.Sleep(min(r.deadline/3, time.Duration(after*float64(time.Second))))
		}
	}
	return false
}

// playVerdict has engines of the plain service crash one after the other while a tenant asks for the same thing
// again and again through one machine, which is then killed and started again.
func playVerdict(b *bench, trouble bool) error {
	for i, zone := range []string{"nadi-a", "lautoka-b", "sigatoka-c"} {
		if err := b.addEngine(&engine{id: fmt.Sprintf("i-%d-1", i), zone: zone, work: 60 * time.Millisecond, watched: lookupPath}); err != nil {
			return err
		}
		if _, err := b.addNode(zone); err != nil {
			return err
		}
	}
	b.edit = func(config map[string]any) {
		config["tenants"] = append(config["tenants"].([]any), map[string]any{"name": "sote12", "api-keys": []string{otherKey}, "priority": 1})
	}
	b.putConfig()
	if err := b.startAll(); err != nil {
		return err
	}
	var same, others tally
	var inRotation, first rotation
	inRotation.set(b.nodes...)
	first.set(b.nodes[0])
	var clients sync.WaitGroup
	end, moved := time.Now().Add(85*time.Second), time.Now().Add(12*time.Second)
	for range 9 {
		other := &asker{bench: b, rotation: &inRotation, tally: &others, pause: 30 * time.Millisecond, next: func() request {
			id := newID()
			return request{id: id, method: http.MethodGet, path: safePath + "job-" + id, head: map[string]string{"X-Api-Key": otherKey}}
		}}
		clients.Go(func() { other.run(end) })
	}
	lookup := func() request { return request{id: newID(), method: http.MethodGet, path: lookupPath} }
	for range 4 {
		clients.Go(func() {
			a := &asker{bench: b, rotation: &first, tally: &same, pause: 30 * time.Millisecond, next: lookup}
			a.run(moved)
			a.rotation, a.conn = &inRotation, nil
			a.run(end)
		})
	}
	time.Sleep(time.Second)
	if trouble {
		b.crashInTurn()
		time.Sleep(time.Until(moved))
		b.restart(b.nodes[0], &inRotation)
	}
	clients.Wait()
	all := float64(same.served.Load()+others.served.Load()) / float64(same.asked.Load()+others.asked.Load())
	b.rec.note("of the tenant's %d requests %d were served, of the other tenant's %d requests %d", same.asked.Load(), same.served.Load(), others.asked.Load(), others.served.Load())
	if same.rate() < all/4 {
		b.rec.breaks("Starved: the tenant's requests are served at a rate of %.3f, all at %.3f", same.rate(), all)
	}
	return nil
}

// crashInTurn has the engines crash one after the other, each while it runs the lookup. Each is back after
// a second and a half.
func (b *bench) crashInTurn() {
	for i := range crashes {
		e := b.engines[i%len(b.engines)]
		for e.running.Load() == 0 {
			time.Sleep(time.Millisecond)
		}
		b.rec.note("engine %s crashes", e.id)
		e.crash()
		time.Sleep(1500 * time.Millisecond)
		e.id = fmt.Sprintf("i-%d-%d", i%len(b.engines), i+2)
		b.rec.note("engine %s starts: %v", e.id, e.start())
		time.Sleep(time.Second)
	}
}

// restart kills the process of a machine and starts it again. The platform sends it no clients while it is not ready.
func (b *bench) restart(n *node, inRotation *rotation) {
	var others []*node
	for _, other := range b.nodes {
		if other != n {
			others = append(others, other)
		}
	}
	inRotation.set(others...)
	b.rec.note("%s is killed", n.name)
	n.kill()
	time.Sleep(3 * time.Second)
	b.rec.note("%s starts again: %v, ready: %v", n.name, n.start(), n.awaitReady(10*time.Second))
	time.Sleep(time.Second)
	inRotation.set(b.nodes...)
}
