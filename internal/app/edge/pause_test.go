package edge_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"fulmarwick/internal/app/edge"
	"fulmarwick/internal/fakes/depot"
	"fulmarwick/platform/stand"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

const (
	// backlog is how long a process that runs again takes for what has come
	// meanwhile.
	backlog = 100 * time.Millisecond
	// slow is how much later its ticks come for that time.
	slow = 30 * time.Millisecond
)

// pauses is when a process gets no processor: its ticks are late, and what comes
// to it and what it sends waits, also behind the backlog.
type pauses struct {
	mu    sync.Mutex
	until time.Time
}

func (p *pauses) begin(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.until = time.Now().Add(d)
}

// wait returns when the process runs.
func (p *pauses) wait() { time.Sleep(time.Until(p.end())) }

// work returns when the process has time for what comes.
func (p *pauses) work() {
	for {
		left := time.Until(p.end()) + backlog
		if left <= 0 {
			return
		}
		time.Sleep(left)
	}
}

func (p *pauses) end() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.until
}

// ticks is a ticker that stands still with the process.
func (p *pauses) ticks(every time.Duration) (<-chan time.Time, func()) {
	c := make(chan time.Time)
	stop := make(chan struct{})
	go func() {
		for {
			time.Sleep(every)
			if time.Since(p.end()) < backlog {
				time.Sleep(slow)
			}
			p.wait()
			select {
			case c <- time.Now():
			case <-stop:
				return
			}
		}
	}()
	return c, func() { close(stop) }
}

// pausedConn is a connection of a process that may be paused.
type pausedConn struct {
	net.Conn
	pauses *pauses
}

func (c pausedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.pauses.work()
	return n, err
}

func (c pausedConn) Write(b []byte) (int, error) {
	c.pauses.work()
	return c.Conn.Write(b)
}

// pausedListener is a listener of a process that may be paused.
type pausedListener struct {
	net.Listener
	pauses *pauses
}

func (l pausedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.pauses.work()
	return pausedConn{conn, l.pauses}, nil
}

// startPaused runs one more instance whose process may be paused.
func (w *world) startPaused(n int, p *pauses, log *zap.Logger) (stop func()) {
	w.t.Helper()
	i := &edge.Instance{
		Settings: depot.Settings(n), Log: log, Ticks: p.ticks,
		Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := w.site.Dial(ctx, network, address)
			p.work()
			if err != nil {
				return nil, err
			}
			return pausedConn{conn, p}, nil
		},
		Listen: func(ctx context.Context, address string) (net.Listener, error) {
			l, err := w.site.Net.Listen(ctx, address)
			if err != nil {
				return nil, err
			}
			return pausedListener{l, p}, nil
		},
	}
	return w.run(i)
}

// An instance with 60 streams gets no processor for a while, in the middle of
// healthy engines. All its streams seem silent, and its questions to engines are
// not answered in time. It must take no engine for dead and move no stream: each
// move is a prompt read again, a repeat used up, and engines that others avoid.
func TestPausedInstanceBlamesNobody(t *testing.T) {
	tests := []struct {
		name  string
		pause time.Duration
		times int
		// between is how long the process runs between two pauses.
		between time.Duration
	}{
		{"once for 600 ms", 600 * time.Millisecond, 1, 0},
		{"twice for 540 ms", 540 * time.Millisecond, 2, 110 * time.Millisecond},
		{"ten times for 100 ms", 100 * time.Millisecond, 10, 60 * time.Millisecond},
		{"four times for 200 ms", 200 * time.Millisecond, 4, 40 * time.Millisecond},
	}
	for _, others := range pausedAmong {
		for _, test := range tests {
			t.Run(fmt.Sprintf("%s among %d", test.name, others), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					w := openDepot(t, &depot.Depot{Instances: others, Shape: grown(1 + others/16)})
					defer w.close()
					w.pauseOne(func(p *pauses) {
						for range test.times {
							p.begin(test.pause)
							time.Sleep(test.pause + test.between)
						}
					})
				})
			})
		}
	}
}

// grown is the usual shape with so many times the engines.
func grown(times int) stand.Shape {
	s := stand.Usual
	s.Zones = nil
	for _, z := range stand.Usual.Zones {
		cards := slices.Clone(z.Cards)
		for i := range cards {
			cards[i] *= times
		}
		s.Zones = append(s.Zones, stand.Zone{Name: z.Name, Cards: cards})
	}
	return s
}

// pauseOne starts one more instance, lets its process be paused while it answers 60
// streams, and checks that all are whole and that it blames no engine.
func (w *world) pauseOne(pause func(p *pauses)) {
	w.t.Helper()
	n := len(w.instances)
	lines, seen := observer.New(zap.InfoLevel)
	p := &pauses{}
	stop := w.startPaused(n, p, zap.New(lines))
	defer stop()
	w.clients = append(w.clients, &http.Client{Transport: &http.Transport{DialContext: w.site.Dial}})
	time.Sleep(2 * time.Second)
	var callers sync.WaitGroup
	for k := range 60 {
		callers.Go(func() {
			id := fmt.Sprintf("p%d", k)
			if a := w.ask(n, http.MethodPost, "/write/1", id, "500,540"); a.body != whole(id, 180) {
				w.t.Errorf("got %d with %d events (%v) for %s, want 180", a.status, a.events, a.err, id)
			}
		})
		time.Sleep(10 * time.Millisecond)
	}
	pause(p)
	callers.Wait()
	for _, what := range []string{"edge: engine does not answer", "edge: path changed", "edge: engine left"} {
		if n := seen.FilterMessage(what).Len(); n > 0 {
			w.t.Errorf("got %d lines %q, want none: all engines are well", n, what)
		}
	}
}
