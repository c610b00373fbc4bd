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
	// backlogTime is how long a process that runs again takes for what has come
	// meanwhile.
	backlogTime = 100 * time.Millisecond
	// backlogTickDelay is how much later its ticks come for that time.
	backlogTickDelay = 30 * time.Millisecond
)

// pausableProcess is when a process gets no processor: its ticks are late, and what comes
// to it and what it sends waits, also behind the backlog.
type pausableProcess struct {
	mu    sync.Mutex
	until time.Time
}

func (p *pausableProcess) pause(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.until = time.Now().Add(d)
}

// waitUntilRunning returns when the process runs.
func (p *pausableProcess) waitUntilRunning() { time.Sleep(time.Until(p.pausedUntil())) }

// waitForBacklog returns when the process has time for what comes.
func (p *pausableProcess) waitForBacklog() {
	for {
		left := time.Until(p.pausedUntil()) + backlogTime
		if left <= 0 {
			return
		}
		time.Sleep(left)
	}
}

func (p *pausableProcess) pausedUntil() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.until
}

// newTicker is a ticker that stands still with the process.
func (p *pausableProcess) newTicker(every time.Duration) (<-chan time.Time, func()) {
	c := make(chan time.Time)
	stop := make(chan struct{})
	go func() {
		for {
			time.Sleep(every)
			if time.Since(p.pausedUntil()) < backlogTime {
				time.Sleep(backlogTickDelay)
			}
			p.waitUntilRunning()
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
	process *pausableProcess
}

func (c pausedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.process.waitForBacklog()
	return n, err
}

func (c pausedConn) Write(b []byte) (int, error) {
	c.process.waitForBacklog()
	return c.Conn.Write(b)
}

// pausedListener is a listener of a process that may be paused.
type pausedListener struct {
	net.Listener
	process *pausableProcess
}

func (l pausedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.process.waitForBacklog()
	return pausedConn{conn, l.process}, nil
}

// startPausableInstance runs one more instance whose process may be paused.
func (w *fixture) startPausableInstance(n int, p *pausableProcess, log *zap.Logger) (stop func()) {
	w.t.Helper()
	i := &edge.Instance{
		Settings: depot.Settings(n), Log: log, NewTicker: p.newTicker,
		Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := w.site.Dial(ctx, network, address)
			p.waitForBacklog()
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
	return w.runInstance(i)
}

// An instance with 60 streams gets no processor for a while, in the middle of
// healthy engines. All its streams seem silent, and its questions to engines are
// not answered in time. It must take no engine for dead and move no stream: each
// move is a prompt read again, a repeat used up, and engines that others avoid.
func TestPausedInstanceDeclaresNoEngineDead(t *testing.T) {
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
	for _, others := range pausedFleetSizes {
		for _, test := range tests {
			t.Run(fmt.Sprintf("%s among %d", test.name, others), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					w := newFixtureFrom(t, &depot.Depot{Instances: others, Shape: scaledShape(1 + others/16)})
					defer w.close()
					w.runPausedInstance(func(p *pausableProcess) {
						for range test.times {
							p.pause(test.pause)
							time.Sleep(test.pause + test.between)
						}
					})
				})
			})
		}
	}
}

// scaledShape is the usual shape with so many times the engines.
func scaledShape(times int) stand.Deployment {
	s := stand.DefaultDeployment
	s.Zones = nil
	for _, z := range stand.DefaultDeployment.Zones {
		cards := slices.Clone(z.EnginesPerCard)
		for i := range cards {
			cards[i] *= times
		}
		s.Zones = append(s.Zones, stand.Zone{Name: z.Name, EnginesPerCard: cards})
	}
	return s
}

// runPausedInstance starts one more instance, lets its process be paused while it answers 60
// streams, and checks that all are whole and that it blames no engine.
func (w *fixture) runPausedInstance(pause func(p *pausableProcess)) {
	w.t.Helper()
	n := len(w.instances)
	lines, seen := observer.New(zap.InfoLevel)
	p := &pausableProcess{}
	stop := w.startPausableInstance(n, p, zap.New(lines))
	defer stop()
	w.clients = append(w.clients, &http.Client{Transport: &http.Transport{DialContext: w.site.Dial}})
	time.Sleep(2 * time.Second)
	var callers sync.WaitGroup
	for k := range 60 {
		callers.Go(func() {
			id := fmt.Sprintf("p%d", k)
			if a := w.request(n, http.MethodPost, "/write/1", id, "500,540"); a.body != wholeAnswer(id, 180) {
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
