package edge_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"fulmarwick/internal/fakes/depot"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

// handshakeTime is how long a living engine takes for each new connection.
const handshakeTime = time.Millisecond

// Guards against healthy engines that are taken for dead because all instances of a
// large fleet ask them at the same moment, over new connections, when another one
// dies.
func TestLargeFleetDeclaresOnlyDeadEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lines, seen := observer.New(zap.WarnLevel)
		w := newFixtureFrom(t, &depot.Depot{Instances: probingFleetSize, Handshake: handshakeTime, Log: zap.New(lines)})
		defer w.close()
		var callers sync.WaitGroup
		for k := range 4 * probingFleetSize {
			callers.Go(func() {
				id := fmt.Sprintf("p%d", k)
				if a := w.request(k%probingFleetSize, http.MethodPost, "/write/1", id, "100,240"); a.body != wholeAnswer(id, 80) {
					t.Errorf("got %d with %d events (%v) for %s, want 80", a.status, a.events, a.err, id)
				}
			})
			time.Sleep(4 * time.Millisecond)
		}
		dead := w.nextStageEngine(w.busiestEngine())
		w.site.StopResponding(dead)
		callers.Wait()
		blamed := map[string]int{}
		for _, l := range seen.FilterMessage("edge: engine does not answer").All() {
			if id := l.ContextMap()["engine"].(string); id != dead.ID {
				blamed[id]++
			}
		}
		if len(blamed) > 0 {
			t.Errorf("got %v taken for dead by so many instances, want none but %s", blamed, dead.ID)
		}
	})
}

// Guards against a stream that runs on more engines than its attempts allow: its first
// engines stand still one after the other, are taken for dead, and live.
func TestFrozenEnginesCountAsAttempts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newFixture(t, 1)
		defer w.close()
		w.runLongStream(3, 1500*time.Millisecond, func(int) { w.site.Freeze(w.busiestEngine(), time.Second) })
		if n := w.site.Runs("long"); n > 2 {
			t.Errorf("got %d runs, want 2 at most", n)
		}
	})
}

// Guards against a stream that runs on more engines than its attempts allow: its first
// engines leave and stand still one after the other, are taken for dead, and live.
func TestLeavingFrozenEnginesCountAsAttempts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newFixture(t, 1)
		defer w.close()
		w.runLongStream(3, 1500*time.Millisecond, func(int) {
			e := w.busiestEngine()
			w.site.DrainEngine(e)
			w.site.Freeze(e, time.Second)
		})
		if n := w.site.LiveProducers("long"); n > 2 {
			t.Errorf("got %d engines that live, want 2 at most", n)
		}
	})
}
