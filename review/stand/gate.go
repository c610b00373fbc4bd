package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// The load of the case: streams with long prompts, a little below what the engines read.
const (
	gateEngines    = 3
	gateClients    = 68
	gatePrompt     = 2000
	gateAnswer     = 60
	gateThink      = 300 * time.Millisecond
	gateWarmUp     = 5 * time.Second
	gateAfter      = 6 * time.Second
	gateReadyLimit = 30 * time.Second
)

func init() { cases["gate"] = runGate }

// brokenOff counts, by instance, the requests from kept connections that reached a sound engine and whose
// connections were closed without an answer.
type brokenOff struct {
	mu         sync.Mutex
	byInstance map[string]int
	served     int
}

func (b *brokenOff) add(instance string, lost bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if lost {
		b.byInstance[instance]++
	} else {
		b.served++
	}
}

// runGate has the operator remove the only route whose priority differs from that of the others of a model
// service, while answers have not begun.
func runGate(ctx context.Context, b *bench) (broken bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	chat := route("r-explain", "/explain/", "streaming", modelService, 1)
	backfill := route("r-backfill", "/backfill/", "streaming", modelService, 2)
	b.store.put("op", "config", config(1, chat, backfill))
	if err := b.startEngines(ctx, gateEngines); err != nil {
		return false, err
	}
	instances, stop, err := b.startInstances(ctx, "klang", "penang")
	defer stop()
	if err != nil {
		return false, err
	}
	if err := b.awaitServed(ctx, instances, streamRequest("/explain/1", gatePrompt, gateAnswer)); err != nil {
		return false, err
	}
	count := &brokenOff{byInstance: map[string]int{}}
	load, endLoad := context.WithCancel(ctx)
	var clients sync.WaitGroup
	for n := range gateClients {
		clients.Go(func() { gateClient(load, b, instances[n%len(instances)], count) })
	}
	sleep(ctx, gateWarmUp)
	if b.trouble {
		b.record.line("operator writes version 2, without the route r-backfill")
		b.store.put("op", "config", config(2, chat))
	}
	sleep(ctx, gateAfter)
	endLoad()
	clients.Wait()
	for _, i := range instances {
		n := count.byInstance[i.name]
		b.record.line("%s closed %d kept connections without an answer to a request that a sound engine ran; the rule allows 3", i.name, n)
		broken = broken || n > 3
	}
	b.record.line("%d requests were answered or refused", count.served)
	if count.served == 0 {
		return false, errNotServed
	}
	return broken, nil
}

// gateClient sends streams until ctx ends.
func gateClient(ctx context.Context, b *bench, i *instance, count *brokenOff) {
	c := &client{address: i.front, record: b.record}
	defer c.close()
	for ctx.Err() == nil {
		q := streamRequest("/explain/1", gatePrompt, gateAnswer)
		out := c.do(context.WithoutCancel(ctx), q)
		count.add(i.name, out.kept && out.bytes == 0 && out.err != nil && out.took < q.deadline && b.record.wasReached(q.id))
		sleep(ctx, rand.N(2*gateThink))
	}
}

// streamRequest returns a streaming request with a new ID.
func streamRequest(path string, prompt, answer int) request {
	id := fmt.Sprintf("%016x", rand.Uint64())
	return request{
		id: id, method: http.MethodPost, path: path, key: apiKey, body: "{}", deadline: 20 * time.Second,
		headers: []string{"Model: levi", fmt.Sprintf("Token-Count: %d,%d", prompt, answer), fmt.Sprintf("Prompt-Prefix: %s:%d", id, prompt)},
	}
}
