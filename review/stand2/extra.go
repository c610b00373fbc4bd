package main

import (
	"bytes"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["extra"] = playExtra }

const (
	// extraBody is the body of the bytes that belong to no request.
	extraBody = "answer that belongs to no request\n"
	// extraEvery is how many answers come for one that is followed by such bytes.
	extraEvery = 20
	// extraTime is how long the engine does that.
	extraTime = 5500 * time.Millisecond
)

// garbler has an engine send additional bytes after some of their complete answers, late, where the next answer on the
// connection is expected. All requests are answered as usual.
type garbler struct {
	until   time.Time
	answers atomic.Int64

	mu sync.Mutex
	// owing are the connections with an answer that such bytes are to follow.
	owing map[*engineConn]bool
}

func (g *garbler) behave(e *engine, c *engineConn, r *http.Request, _ []byte) (done, keep bool) {
	isGarbled := g.answers.Add(1)%extraEvery == 0 && time.Now().Before(g.until)
	g.mu.Lock()
	owes := g.owing[c]
	g.owing[c] = isGarbled
	g.mu.Unlock()
	if owes {
		e.bench.rec.note("%s sends bytes after its complete answer, before %s on the same connection", e.id, r.Header.Get("Request-Id"))
		_, _ = c.Write(response(http.StatusOK, map[string]string{"Server-Seal": e.id + ".7.5a2"}, []byte(extraBody)))
	}
	return false, false
}

// playExtra has one of three engines send additional bytes after complete answers.
func playExtra(b *bench, trouble bool) error {
	g := &garbler{owing: map[*engineConn]bool{}}
	for i, zone := range []string{"nadi-a", "lautoka-b", "sigatoka-c"} {
		e := &engine{id: fmt.Sprintf("i-7f3a91c%d", i), zone: zone, work: 60 * time.Millisecond}
		if trouble && i == 1 {
			e.behave = g.behave
		}
		if err := b.addEngine(e); err != nil {
			return err
		}
	}
	n, err := b.addNode("nadi-a")
	if err != nil {
		return err
	}
	b.putConfig()
	if err := b.startAll(); err != nil {
		return err
	}
	time.Sleep(time.Second)
	g.until = time.Now().Add(extraTime)
	end := g.until.Add(time.Second)
	var clients sync.WaitGroup
	for range 8 {
		clients.Go(func() {
			for time.Now().Before(end) {
				b.lookUp(n)
			}
		})
	}
	clients.Wait()
	return nil
}

// lookUp sends a request that may be repeated and checks that the answer is the engine's answer to it.
func (b *bench) lookUp(n *node) {
	c, err := dial(n.front)
	if err != nil {
		b.rec.note("%s accepts no connection: %v", n.name, err)
		time.Sleep(100 * time.Millisecond)
		return
	}
	defer func() { _ = c.Close() }()
	id := newID()
	o := c.do(request{id: id, method: http.MethodGet, path: safePath + "job-" + id, deadline: 3 * time.Second})
	b.rec.note("%s", o)
	if o.err == nil && o.status == http.StatusOK && !bytes.Equal(o.body, answerOf(id)) {
		b.rec.breaks("MIXED: success for %s with a body that is not the engine's answer: %q", id, o.body)
	}
}
