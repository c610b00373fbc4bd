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

// scriptedLogic is a logic that sends what it is told to and counts what comes.
type scriptedLogic struct {
	mu       sync.Mutex
	pending  []node.Command
	received int
	lost     int
	// arrived gets a value for each message if it is not nil.
	arrived chan struct{}
}

func (k *scriptedLogic) Tick(_ time.Duration, events []node.Event) []node.Command {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, ev := range events {
		switch ev.(type) {
		case node.Received:
			k.received++
			if k.arrived != nil {
				k.arrived <- struct{}{}
			}
		case node.ConnectionLost:
			k.lost++
		}
	}
	out := k.pending
	k.pending = nil
	return out
}

func (k *scriptedLogic) send(to spec.InstanceID, host int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.pending = append(k.pending, node.Send{To: to, URL: fmt.Sprintf("http://10.0.0.%d:7000", host), Data: []byte("x")})
}

func (k *scriptedLogic) counts() (heard, lost int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.received, k.lost
}

// newPair runs two instances that say only what the test has them say.
func newPair(t *testing.T, idle time.Duration) (s *network, a, b *scriptedLogic, conns func() uint64) {
	s, a, b = newSite(t), &scriptedLogic{}, &scriptedLogic{}
	set := metrics.NewSet()
	for i, k := range []*scriptedLogic{a, b} {
		s.add([]string{"a", "b"}[i], nil, func(h *peer.Hub) { h.Logic, h.Idle, h.Meters = k, idle, set })
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
			t.Errorf("got %d ends of connections after silence, want 0", got)
		}
		if heard, lost := b.counts(); heard != 1 || lost != 0 {
			t.Errorf("got %d heard and %d lost, want 1 and 0: an agreed close is no loss", heard, lost)
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
		for name, k := range map[string]*scriptedLogic{"a": a, "b": b} {
			if heard, lost := k.counts(); heard != 40 || lost != 0 {
				t.Errorf("got %d heard and %d lost at %s, want 40 and 0", heard, lost, name)
			}
		}
		if got := conns(); got != 2 {
			t.Errorf("got %d ends of connections, want one connection for the pair", got)
		}
	})
}

// The other instance cannot be reached for a while. Its loss is told, tries
// grow rare, and it is reached again once it is back.
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
			t.Errorf("got %d tries in a minute, want a few", lost)
		}
		s.mu.Lock()
		s.unreachable["10.0.0.2:7000"] = false
		s.mu.Unlock()
		for range 100 {
			a.send("b", 2)
			time.Sleep(100 * time.Millisecond)
		}
		if heard, _ := b.counts(); heard == 0 {
			t.Errorf("got nothing heard after the way was back, want some")
		}
	})
}

// An instance is told dead while a connection to it hangs: the connection is
// closed, so that nothing waits on it. One that only restarted keeps its new
// connection.
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
