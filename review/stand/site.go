package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"
)

var errNotServed = errors.New("no request was served")

// zones are the data centres of engines.
var zones = []string{"klang", "penang", "johor"}

// startEngines starts empty engines of the model service.
func (b *bench) startEngines(ctx context.Context, n int) error {
	for k := range n {
		e := &modelEngine{id: fmt.Sprintf("i-model-%d", k+1), zone: zones[k%len(zones)], service: modelService, store: b.store, record: b.record}
		address, err := serve(ctx, e)
		if err != nil {
			return err
		}
		e.address = address
		go e.register(ctx)
	}
	return nil
}

// startInstances starts an instance in each of some data centres and waits until all are ready.
func (b *bench) startInstances(ctx context.Context, centres ...string) (all []*instance, stop func(), err error) {
	stop = func() {
		for _, i := range all {
			i.stop()
		}
	}
	for n, centre := range centres {
		i, err := newInstance(ctx, b.root, b.dir, fmt.Sprintf("edge-%s-%d", centre, n+1), centre, b.table)
		if err != nil {
			return all, stop, err
		}
		if err := i.start(ctx); err != nil {
			return all, stop, err
		}
		all = append(all, i)
	}
	for _, i := range all {
		if err := i.awaitReady(ctx, 30*time.Second); err != nil {
			return all, stop, err
		}
	}
	return all, stop, nil
}

// awaitServed waits until every instance serves a kind of request.
func (b *bench) awaitServed(ctx context.Context, all []*instance, q request) error {
	for _, i := range all {
		served := false
		for n := 0; n < 300 && !served && ctx.Err() == nil; n++ {
			c := &client{address: i.front, record: b.record}
			q.id = fmt.Sprintf("%016x", time.Now().UnixNano())
			out := c.do(ctx, q)
			c.close()
			served = out.status == http.StatusOK && out.err == nil
			if !served {
				sleep(ctx, 100*time.Millisecond)
			}
		}
		if !served {
			return fmt.Errorf("%s: %w", i.name, errNotServed)
		}
	}
	return nil
}
