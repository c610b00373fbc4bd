package peer_test

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/fleet/node"
	"fulmarwick/internal/wire/peer"

	"github.com/VictoriaMetrics/metrics"
)

// scriptedLogic sends the commands that the test queues and counts received
// messages and lost connections.
type scriptedLogic struct {
	mu       sync.Mutex
	pending  []node.Command
	received int
	lost     int
	// arrived gets a value for each received message if it is not nil.
	arrived chan struct{}
}

func (l *scriptedLogic) Tick(_ time.Duration, events []node.Event) []node.Command {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, ev := range events {
		switch ev.(type) {
		case node.Received:
			l.received++
			if l.arrived != nil {
				l.arrived <- struct{}{}
			}
		case node.ConnectionLost:
			l.lost++
		}
	}
	out := l.pending
	l.pending = nil
	return out
}

func (l *scriptedLogic) send(to spec.InstanceID, host int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pending = append(l.pending, node.Send{To: to, URL: fmt.Sprintf("http://10.0.0.%d:7000", host), Data: []byte("x")})
}

func (l *scriptedLogic) counts() (received, lost int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.received, l.lost
}

// newPair runs two instances that send only what the test queues.
func newPair(t *testing.T, idle time.Duration) (s *network, a, b *scriptedLogic, conns func() uint64) {
	s, a, b = newSite(t), &scriptedLogic{}, &scriptedLogic{}
	set := metrics.NewSet()
	for i, l := range []*scriptedLogic{a, b} {
		s.add([]string{"a", "b"}[i], nil, func(h *peer.Hub) { h.Logic, h.Idle, h.Meters = l, idle, set })
	}
	return s, a, b, set.GetOrCreateCounter("fulmarwick_peer_connections").Get
}

func TestUnusedConnectionCloses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, a, b, conns := newPair(t, time.Second)
		defer s.close()
		a.send("b", 2)
		time.Sleep(500 * time.Millisecond)
		if got := conns(); got != 2 {
			t.Errorf("got %d ends of connections in use, want 2", got)
		}
		time.Sleep(5 * time.Second)
		if got := conns(); got != 0 {
			t.Errorf("got %d ends of connections after the idle time, want 0", got)
		}
		if received, lost := b.counts(); received != 1 || lost != 0 {
			t.Errorf("got %d received and %d lost, want 1 and 0: a normal close is no loss", received, lost)
		}
	})
}

func TestBothDialAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, a, b, conns := newPair(t, time.Second)
		defer s.close()
		for range 40 {
			a.send("b", 2)
			b.send("a", 1)
			time.Sleep(100 * time.Millisecond)
		}
		for name, l := range map[string]*scriptedLogic{"a": a, "b": b} {
			if received, lost := l.counts(); received != 40 || lost != 0 {
				t.Errorf("got %d received and %d lost at %s, want 40 and 0", received, lost, name)
			}
		}
		if got := conns(); got != 2 {
			t.Errorf("got %d ends of connections, want one connection for the pair", got)
		}
	})
}

// The other instance is unreachable for a minute. The loss is reported, dial
// attempts back off, and the instance is reached again once it is back.
func TestDialBacksOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, a, b, _ := newPair(t, time.Second)
		defer s.close()
		s.mu.Lock()
		s.unreachable["10.0.0.2:7000"] = true
		s.mu.Unlock()
		for range 600 {
			a.send("b", 2)
			time.Sleep(100 * time.Millisecond)
		}
		if _, lost := a.counts(); lost < 5 || lost > 40 {
			t.Errorf("got %d lost connections in a minute, want a few", lost)
		}
		s.mu.Lock()
		s.unreachable["10.0.0.2:7000"] = false
		s.mu.Unlock()
		for range 100 {
			a.send("b", 2)
			time.Sleep(100 * time.Millisecond)
		}
		if received, _ := b.counts(); received == 0 {
			t.Errorf("got no message after the network was back, want some")
		}
	})
}

// An instance is declared dead while a connection to it hangs. The connection
// is closed, so that no write blocks on it. The connection of an instance that
// only restarted is kept.
func TestConnectionOfDeadMemberCloses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, a, _, conns := newPair(t, time.Minute)
		defer s.close()
		for _, c := range []struct {
			command node.Command
			want    uint64
		}{
			{node.Members{Peers: []node.Peer{{ID: "b", URL: "http://10.0.0.2:7000"}}}, 2},
			{node.ExpirePeer{Peer: "b"}, 2},
			{node.Members{}, 0},
		} {
			a.send("b", 2)
			time.Sleep(200 * time.Millisecond)
			a.mu.Lock()
			a.pending = append(a.pending, c.command)
			a.mu.Unlock()
			time.Sleep(3 * time.Second)
			if got := conns(); got != c.want {
				t.Errorf("got %d ends of connections after %+v, want %d", got, c.command, c.want)
			}
		}
	})
}
