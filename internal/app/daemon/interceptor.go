package daemon

import (
	"context"
	"net/http"
	"sync"

	"fulmarwick/internal/base/frame"
	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/domain"
	"fulmarwick/internal/wire/engine"
)

// interceptor passes events on to the routing logic and shows engines' reports to the
// orders, which trust nothing else.
type interceptor struct {
	*Daemon
	mu    sync.Mutex
	kinds map[spec.UpstreamID]string
}

// Post passes an event on.
func (t *interceptor) Post(ev domain.Event) {
	switch ev := ev.(type) {
	case domain.EngineReport:
		t.recordReport(ev.Engine)
	case domain.EngineDead:
		t.parts.duties.orders.RemoveReport(ev.Engine)
		t.parts.pool.Break(ev.Engine)
	case domain.EngineRemoved:
		t.parts.duties.orders.RemoveReport(ev.Engine)
		t.parts.pool.Forget(ev.Engine)
		t.mu.Lock()
		delete(t.kinds, ev.Engine)
		t.mu.Unlock()
	}
	t.parts.loop.Post(ev)
}

func (t *interceptor) recordReport(e domain.Engine) {
	t.mu.Lock()
	if t.kinds == nil {
		t.kinds = map[spec.UpstreamID]string{}
	}
	t.kinds[e.ID] = e.Kind
	t.mu.Unlock()
	t.parts.duties.orders.ApplyReport(e.ID, frame.Engine{Seq: e.Seq, Holds: holdFrames(e.Loaded)})
}

func (t *interceptor) kind(id spec.UpstreamID) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.kinds[id]
}

// controls knows where engines are and sends them orders.
type controls struct {
	pool *engine.Pool
	http *http.Client

	mu       sync.Mutex
	baseURLs map[spec.UpstreamID]string
}

// Locate learns where an engine is.
func (c *controls) Locate(id spec.UpstreamID, base string) {
	c.mu.Lock()
	if c.baseURLs == nil {
		c.baseURLs = map[spec.UpstreamID]string{}
	}
	c.baseURLs[id] = base
	c.mu.Unlock()
	c.pool.Locate(id, base)
}

// SendOrder sends an order to an engine.
func (c *controls) SendOrder(ctx context.Context, id spec.UpstreamID, o frame.Order) error {
	c.mu.Lock()
	base := c.baseURLs[id]
	c.mu.Unlock()
	return (&engine.Control{HTTP: c.http, Base: base}).Order(ctx, o)
}

// Events reads the cache events of the engine at base.
func (c *controls) Events(ctx context.Context, base string, since uint64) (frame.Events, error) {
	return (&engine.Control{HTTP: c.http, Base: base}).Events(ctx, since)
}
