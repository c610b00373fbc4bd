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
	// backlogTime is how long a resumed process takes to handle the input that
	// arrived during the pause.
	backlogTime = 100 * time.Millisecond
	// backlogTickDelay is how late its ticks are during backlogTime.
	backlogTickDelay = 30 * time.Millisecond
)

// pausableProcess simulates a process that gets no CPU time for a while: its ticks are
// late, and data that it receives or sends waits until the pause and the backlog after
// it are over.
type pausableProcess struct {
	mu    sync.Mutex
	until time.Time
}

func (p *pausableProcess) pause(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.until = time.Now().Add(d)
}

// waitUntilRunning returns when the process is not paused.
func (p *pausableProcess) waitUntilRunning() { time.Sleep(time.Until(p.pausedUntil())) }

// waitForBacklog returns when the process is not paused and has handled its backlog.
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

// newTicker returns a ticker that pauses with the process.
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

// startPausableInstance starts another instance, whose process may be paused.
func (f *fixture) startPausableInstance(n int, p *pausableProcess, log *zap.Logger) (stop func()) {
	f.t.Helper()
	s := depot.Settings(n)
	dial := f.site.DialFrom(s.Instance.Name)
	i := &edge.Instance{
		Settings: s, Log: log, NewTicker: p.newTicker,
		Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dial(ctx, network, address)
			p.waitForBacklog()
			if err != nil {
				return nil, err
			}
			return pausedConn{conn, p}, nil
		},
		Listen: func(ctx context.Context, address string) (net.Listener, error) {
			l, err := f.site.Net.Listen(ctx, address)
			if err != nil {
				return nil, err
			}
			return pausedListener{l, p}, nil
		},
	}
	return f.runInstance(i)
}

// Guards against an instance that blames healthy engines for its own pause. An instance
// with 60 streams gets no CPU time for a while: all its streams seem to stall, and its
// probes of engines time out. It must declare no engine dead and move no stream. Each
// move costs a repeated prefill and a retry, and peers avoid the engine.
func TestPausedInstanceDeclaresNoEngineDead(t *testing.T) {
	tests := []struct {
		name  string
		pause time.Duration
		times int
		// between is how long the process runs after each pause.
		between time.Duration
	}{
		{"once for 600 ms", 600 * time.Millisecond, 1, 0},
		{"twice for 540 ms", 540 * time.Millisecond, 2, 110 * time.Millisecond},
		{"ten times for 100 ms", 100 * time.Millisecond, 10, 60 * time.Millisecond},
		{"four times for 200 ms", 200 * time.Millisecond, 4, 40 * time.Millisecond},
	}
	for _, peers := range pausedFleetSizes {
		for _, test := range tests {
			t.Run(fmt.Sprintf("%s among %d", test.name, peers), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newFixtureFrom(t, &depot.Depot{Instances: peers, Deployment: scaledShape(1 + peers/16)})
					defer f.close()
					f.runPausedInstance(func(p *pausableProcess) {
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

// scaledShape returns the default deployment with the number of engines multiplied by
// times.
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

// runPausedInstance starts another instance, pauses its process while it answers 60
// streams, and checks that all answers are complete and that it blames no engine.
func (f *fixture) runPausedInstance(pause func(p *pausableProcess)) {
	f.t.Helper()
	n := len(f.instances)
	core, logs := observer.New(zap.InfoLevel)
	p := &pausableProcess{}
	stop := f.startPausableInstance(n, p, zap.New(core))
	defer stop()
	f.clients = append(f.clients, &http.Client{Transport: &http.Transport{DialContext: f.site.Dial}})
	time.Sleep(2 * time.Second)
	var callers sync.WaitGroup
	for k := range 60 {
		callers.Go(func() {
			id := fmt.Sprintf("p%d", k)
			if a := f.request(n, http.MethodPost, "/write/1", id, "500,540"); a.body != wholeAnswer(id, 180) {
				f.t.Errorf("got %d with %d events (%v) for %s, want 180", a.status, a.events, a.err, id)
			}
		})
		time.Sleep(10 * time.Millisecond)
	}
	pause(p)
	callers.Wait()
	for _, message := range []string{"edge: engine does not answer", "edge: path changed", "edge: engine left"} {
		if n := logs.FilterMessage(message).Len(); n > 0 {
			f.t.Errorf("got %d log entries %q, want none: all engines are healthy", n, message)
		}
	}
}
