package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["forget"] = playForget }

const (
	// crashingPath is the path of the request that crashes each engine that runs it.
	crashingPath = safePath + "job-666"
	// crashTime is how long an engine runs that request before it crashes, and awayTime how long it is away.
	crashTime = 60 * time.Millisecond
	awayTime  = 2 * time.Second
	// roundPause is the time between two rounds of copies of the request. All engines are back by then.
	roundPause = stableWindow + 1500*time.Millisecond
	// maxLate is how many retries may reach engines too late.
	maxLate = 3
)

// forgetCase is a run of the case forget.
type forgetCase struct {
	bench *bench

	mu      sync.Mutex
	started time.Time
	// crashes are the times at which engines crashed under the request; late is how many copies reached engines
	// later than the bound after the third one, from machines in touch, and retries how many of them a machine had
	// sent to an engine before.
	crashes []time.Time
	late    int
	retries int
	seen    map[string]bool
	starts  int
}

// arrive crashes an engine that runs the request.
func (f *forgetCase) arrive(e *engine, c *engineConn, r *http.Request, _ []byte) (done, keep bool) {
	if r.URL.Path != crashingPath {
		return false, false
	}
	now := time.Now()
	id := r.Header.Get("Request-Id")
	f.mu.Lock()
	isLate := len(f.crashes) >= 3 && now.Sub(f.crashes[2]) > stableWindow && now.Sub(f.started) > stableWindow
	if isLate {
		f.late++
		if f.seen[id] {
			f.retries++
		}
	}
	f.seen[id] = true
	f.mu.Unlock()
	f.bench.rec.note("%s reaches %s, too late: %v", id, e.id, isLate)
	f.bench.rec.run(id, e.id)
	if e.pauseFor(c, crashTime) {
		f.crash(e)
	}
	return true, false
}

// crash crashes an engine unless it has crashed meanwhile.
func (f *forgetCase) crash(e *engine) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e.mu.Lock()
	isDown := e.stopped
	e.mu.Unlock()
	if isDown {
		return
	}
	f.crashes = append(f.crashes, time.Now())
	f.bench.rec.note("%s crashes under the request, the %d. end", e.id, len(f.crashes))
	e.crash()
	f.starts++
	id := fmt.Sprintf("i-%d", len(f.bench.engines)+f.starts)
	time.AfterFunc(awayTime, func() {
		e.id = id
		f.bench.rec.note("%s starts: %v", e.id, e.start())
	})
}

// playForget has a request come again that crashes engines, while all processes are killed after the second crash.
func playForget(b *bench, trouble bool) error {
	f := &forgetCase{bench: b, seen: map[string]bool{}}
	zones := []string{"nadi-a", "lautoka-b", "sigatoka-c"}
	for i, zone := range zones {
		if err := b.addEngine(&engine{id: fmt.Sprintf("i-%d", i), zone: zone, work: 60 * time.Millisecond, behave: f.arrive}); err != nil {
			return err
		}
	}
	for i := range 4 {
		if _, err := b.addNode(zones[i%3]); err != nil {
			return err
		}
	}
	b.putConfig()
	f.started = time.Now()
	if err := b.startAll(); err != nil {
		return err
	}
	time.Sleep(roundPause)
	f.send(b.nodes[:1], 1)
	time.Sleep(time.Second)
	if trouble {
		if err := f.killAll(); err != nil {
			return err
		}
	}
	time.Sleep(roundPause)
	f.send(b.nodes[:1], 1)
	for range 3 {
		time.Sleep(roundPause)
		f.send(b.nodes, 2)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	b.rec.note("%d engines ended under the request, %d copies of it reached engines too late, %d of them retries",
		len(f.crashes), f.late, f.retries)
	if f.retries > maxLate {
		b.rec.breaks("BUDGET: the request reached engines in %d retries later than %v after it had crashed the third", f.retries, stableWindow)
	}
	return nil
}

// killAll kills the processes of all machines at once and starts them again.
func (f *forgetCase) killAll() error {
	for _, n := range f.bench.nodes {
		n.kill()
	}
	f.bench.rec.note("all processes are killed")
	time.Sleep(time.Second)
	if err := f.bench.startAll(); err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.started = time.Now()
	f.bench.rec.note("all processes run again")
	return nil
}

// send sends copies of the request through each of some machines at once.
func (f *forgetCase) send(nodes []*node, copies int) {
	var group sync.WaitGroup
	for _, n := range nodes {
		for range copies {
			group.Go(func() {
				c, err := dial(n.front)
				if err != nil {
					return
				}
				defer func() { _ = c.Close() }()
				o := c.do(request{id: newID(), method: http.MethodGet, path: crashingPath, deadline: 3 * time.Second})
				f.bench.rec.note("%s: %s", n.name, o)
			})
		}
	}
	group.Wait()
}
