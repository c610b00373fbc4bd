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

// interceptor forwards events to the routing logic. It also passes engine
// reports to the order reconciler, which relies on reports only.
type interceptor struct {
	*Daemon
	mu    sync.Mutex
	kinds map[spec.UpstreamID]string
}

// Post forwards an event to the routing logic.
func (i *interceptor) Post(ev domain.Event) {
	switch ev := ev.(type) {
	case domain.EngineReport:
		i.recordReport(ev.Engine)
	case domain.EngineDead:
		i.parts.duties.orders.RemoveReport(ev.Engine)
		i.parts.pool.Disconnect(ev.Engine)
	case domain.EngineRemoved:
		i.parts.duties.orders.RemoveReport(ev.Engine)
		i.parts.pool.Remove(ev.Engine)
		i.mu.Lock()
		delete(i.kinds, ev.Engine)
		i.mu.Unlock()
	}
	i.parts.loop.Post(ev)
}

func (i *interceptor) recordReport(e domain.Engine) {
	i.mu.Lock()
	if i.kinds == nil {
		i.kinds = map[spec.UpstreamID]string{}
	}
	i.kinds[e.ID] = e.Kind
	i.mu.Unlock()
	i.parts.duties.orders.ApplyReport(e.ID, frame.Engine{Seq: e.Seq, Holds: holdFrames(e.Loaded)})
}

func (i *interceptor) kind(id spec.UpstreamID) string {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.kinds[id]
}

// controls stores the base URLs of engines and sends them load orders.
type controls struct {
	pool *engine.Pool
	http *http.Client

	mu       sync.Mutex
	baseURLs map[spec.UpstreamID]string
}

// SetAddress sets the base URL of an engine.
func (c *controls) SetAddress(id spec.UpstreamID, base string) {
	c.mu.Lock()
	if c.baseURLs == nil {
		c.baseURLs = map[spec.UpstreamID]string{}
	}
	c.baseURLs[id] = base
	c.mu.Unlock()
	c.pool.SetAddress(id, base)
}

// SendOrder sends a load order to an engine.
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
