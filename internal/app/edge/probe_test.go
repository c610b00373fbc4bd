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

// handshakeTime is how long a live engine takes for each new connection.
const handshakeTime = time.Millisecond

// Guards against healthy engines that are declared dead because all instances of a large
// fleet probe them at the same moment, over new connections, when another engine dies.
func TestLargeFleetDeclaresOnlyDeadEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		core, logs := observer.New(zap.WarnLevel)
		f := newFixtureFrom(t, &depot.Depot{Instances: probingFleetSize, Handshake: handshakeTime, Log: zap.New(core)})
		defer f.close()
		var callers sync.WaitGroup
		for k := range 4 * probingFleetSize {
			callers.Go(func() {
				id := fmt.Sprintf("p%d", k)
				if a := f.request(k%probingFleetSize, http.MethodPost, "/write/1", id, "100,240"); a.body != wholeAnswer(id, 80) {
					t.Errorf("got %d with %d events (%v) for %s, want 80", a.status, a.events, a.err, id)
				}
			})
			time.Sleep(4 * time.Millisecond)
		}
		dead := f.nextStageEngine(f.busiestEngine())
		f.site.StopResponding(dead)
		callers.Wait()
		falselyDead := map[string]int{}
		for _, l := range logs.FilterMessage("edge: engine does not answer").All() {
			if id := l.ContextMap()["engine"].(string); id != dead.ID {
				falselyDead[id]++
			}
		}
		if len(falselyDead) > 0 {
			t.Errorf("got engines declared dead, with the number of instances: %v, want none but %s", falselyDead, dead.ID)
		}
	})
}

// Guards against a stream that runs on more engines than its attempts allow: its first
// engines freeze one after the other and are declared dead, but are alive.
func TestFrozenEnginesCountAsAttempts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 1)
		defer f.close()
		f.runLongStream(3, 1500*time.Millisecond, func(int) { f.site.Freeze(f.busiestEngine(), time.Second) })
		if n := f.site.Runs("long"); n > 2 {
			t.Errorf("got %d runs, want 2 at most", n)
		}
	})
}

// Guards against a stream that runs on more engines than its attempts allow: its first
// engines leave and freeze one after the other and are declared dead, but are alive.
func TestLeavingFrozenEnginesCountAsAttempts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 1)
		defer f.close()
		f.runLongStream(3, 1500*time.Millisecond, func(int) {
			e := f.busiestEngine()
			f.site.DrainEngine(e)
			f.site.Freeze(e, time.Second)
		})
		if n := f.site.LiveProducers("long"); n > 2 {
			t.Errorf("got runs on %d engines that are alive, want 2 at most", n)
		}
	})
}
