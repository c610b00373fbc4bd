package watch_test

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"fulmarwick/internal/base/frame"
	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/domain"
	"fulmarwick/internal/state/store"
	"fulmarwick/internal/wire/watch"

	"go.uber.org/zap"
)

// serviceList is the platform's list and records the addresses passed to the
// sender of calls.
type serviceList struct {
	mu      sync.Mutex
	states  []string
	located []string
}

func (p *serviceList) ListInstances(context.Context) ([]store.ListedBody, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []store.ListedBody
	for i, s := range p.states {
		out = append(out, store.ListedBody{Role: store.RoleService, Service: "payments", URL: string(rune('a' + i)), State: s})
	}
	return out, nil
}

func (p *serviceList) Locate(_ spec.ServiceName, bases []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.located = slices.Clone(bases)
}

func (p *serviceList) set(states ...string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.states = states
}

func (p *serviceList) live() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.located)
}

// discard ignores events and engine addresses.
type discard struct{}

func (discard) Post(domain.Event)                  {}
func (discard) SetAddress(spec.UpstreamID, string) {}

// Both instances of a payment service leave, one after the other. The sender
// must learn of each within 2 s, including the last. If the watcher omitted a
// service without live instances, the sender would keep sending new payments to
// a leaving instance.
func TestLastInstanceOfServiceLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &serviceList{}
		p.set(frame.StateLive, frame.StateLive)
		w := &watch.Watcher{
			List: p, Events: discard{}, Engines: discard{}, Services: p,
			HTTP: &http.Client{}, Log: zap.NewNop(), ListInterval: time.Second,
		}
		ctx, stop := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { _ = w.Run(ctx); close(done) }()
		for _, c := range []struct {
			states []string
			want   int
		}{
			{[]string{frame.StateLive, frame.StateLive}, 2},
			{[]string{frame.StateLeaving, frame.StateLive}, 1},
			{[]string{frame.StateLeaving, frame.StateLeaving}, 0},
		} {
			p.set(c.states...)
			time.Sleep(2 * time.Second)
			if got := p.live(); got != c.want {
				t.Errorf("got %d instances for %v, want %d", got, c.states, c.want)
			}
		}
		stop()
		<-done
	})
}
