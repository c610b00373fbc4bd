package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["drain"] = playDrain }

// The bounds of the settings.
const (
	drainBound   = 2 * time.Second
	stableWindow = 3 * time.Second
)

const (
	// cutTime is how long a machine is cut off from the store.
	cutTime = 4 * time.Second
	// leaveDelay is how long after the end of the cut an engine leaves.
	leaveDelay = 850 * time.Millisecond
	// serveTime is how long an engine serves after its row was removed.
	serveTime = drainBound + 300*time.Millisecond
	// drainCycle is the time from one cut to the next one.
	drainCycle = cutTime + stableWindow + 800*time.Millisecond
)

// drainCase is a run of the case drain.
type drainCase struct {
	bench *bench
	// stableFrom is when the machine is in touch again, in Unix nanoseconds.
	stableFrom atomic.Int64

	mu sync.Mutex
	// left holds when the store acknowledged that engines have left.
	left map[string]time.Time
	late map[string]bool
	// lost is how many of the requests that reached an engine too late got no answer of it.
	lost int
}

// arrive checks that a request reaches an engine before the bound after its leaving.
func (d *drainCase) arrive(e *engine, _ *engineConn, r *http.Request, _ []byte) (done, keep bool) {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	left, ok := d.left[e.id]
	if ok && now.Sub(left) > drainBound && now.UnixNano() > d.stableFrom.Load() {
		id := r.Header.Get("Request-Id")
		d.late[id] = true
		d.bench.rec.breaks("DRAIN: %s reaches %s %d ms after the store acknowledged that it left", id, e.id, now.Sub(left).Milliseconds())
	}
	return false, false
}

// playDrain has engines leave shortly after a machine, which was cut off from the store alone, reaches it again.
func playDrain(b *bench, trouble bool) error {
	d := &drainCase{bench: b, left: map[string]time.Time{}, late: map[string]bool{}}
	zones := []string{"nadi-a", "lautoka-b", "sigatoka-c"}
	add := func(n int) error {
		return b.addEngine(&engine{id: fmt.Sprintf("i-%02d", n), zone: zones[n%3], work: 120 * time.Millisecond, behave: d.arrive})
	}
	for i, zone := range zones {
		if err := add(i); err != nil {
			return err
		}
		if _, err := b.addNode(zone); err != nil {
			return err
		}
	}
	b.putConfig()
	if err := b.startAll(); err != nil {
		return err
	}
	time.Sleep(stableWindow + time.Second)
	reader := b.reader()
	b.rec.note("%s reads the list of engines for all", reader.name)
	end := time.Now().Add(98 * time.Second)
	var clients sync.WaitGroup
	for range 5 {
		clients.Go(func() { d.book(reader, end) })
	}
	for n := len(zones); time.Now().Add(drainCycle).Before(end); n++ {
		start := time.Now()
		if err := add(n); err != nil {
			return err
		}
		if trouble {
			b.rec.note("%s is cut off from the store", reader.name)
			reader.cutStore()
		}
		time.Sleep(cutTime)
		if trouble {
			if err := reader.connectStore(); err != nil {
				return err
			}
			d.stableFrom.Store(time.Now().Add(stableWindow).UnixNano())
			b.rec.note("%s reaches the store again", reader.name)
		}
		time.Sleep(leaveDelay)
		d.leave(b.engines[n-len(zones)])
		time.Sleep(time.Until(start.Add(drainCycle)))
	}
	clients.Wait()
	d.mu.Lock()
	defer d.mu.Unlock()
	b.rec.note("%d requests reached engines too late, %d of them ran and got no answer", len(d.late), d.lost)
	return nil
}

// reader returns the machine that reads the list of engines most often.
func (b *bench) reader() *node {
	for _, n := range b.nodes {
		n.takeListReads()
	}
	time.Sleep(2 * time.Second)
	var reader *node
	most := 0
	for _, n := range b.nodes {
		if reads := n.takeListReads(); reads > most {
			reader, most = n, reads
		}
	}
	return reader
}

// leave removes the row of an engine, which serves on for a while and exits.
func (d *drainCase) leave(e *engine) {
	e.mu.Lock()
	close(e.stop)
	e.stop = make(chan struct{})
	e.mu.Unlock()
	d.bench.store.remove("servers", e.id)
	now := time.Now()
	d.mu.Lock()
	d.left[e.id] = now
	d.mu.Unlock()
	d.bench.rec.note("%s leaves, acknowledged by the store", e.id)
	time.AfterFunc(serveTime, func() {
		d.bench.rec.note("%s exits", e.id)
		e.crash()
	})
}

// book sends requests that may run once through a machine until a time.
func (d *drainCase) book(n *node, until time.Time) {
	var c *clientConn
	for time.Now().Before(until) {
		if c == nil {
			var err error
			if c, err = dial(n.front); err != nil {
				time.Sleep(20 * time.Millisecond)
				continue
			}
		}
		id := newID()
		o := c.do(request{id: id, method: http.MethodPost, path: unsafePath + "book", body: []byte("callout " + id), deadline: 3 * time.Second})
		d.mu.Lock()
		isLate := d.late[id]
		if isLate && (o.err != nil || o.status != http.StatusOK) {
			d.lost++
		}
		d.mu.Unlock()
		d.bench.rec.note("%s: %s", n.name, o)
		if o.err != nil || o.closes {
			_ = c.Close()
			c = nil
		}
		time.Sleep(time.Duration(rand.IntN(20)) * time.Millisecond)
	}
}
