package edge_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"fulmarwick/platform/stand"
)

// departures are the ways in which the instances learn that an engine leaves.
var departures = map[string]func(*stand.Site, *stand.Engine){
	"draining": (*stand.Site).DrainEngine,
	"notice":   func(s *stand.Site, e *stand.Engine) { s.LeaveSilently(e) },
	"unlisted": func(s *stand.Site, e *stand.Engine) { s.RemoveRow(e) },
}

// Guards against a stream that runs on more engines than its attempts allow: its first engines leave, one
// after the other, and live on after their connections were reset.
func TestLeavingEnginesThatLoseConnectionsCountAsAttempts(t *testing.T) {
	for name, leave := range departures {
		for _, delay := range []time.Duration{20 * time.Millisecond, 150 * time.Millisecond, 400 * time.Millisecond} {
			t.Run(fmt.Sprintf("%s %s before", name, delay), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newFixture(t, 1)
					defer f.close()
					f.runLongStream(3, 1500*time.Millisecond, func(int) {
						e := f.busiestEngine()
						leave(f.site, e)
						time.Sleep(delay)
						f.site.Net.Reset(e.Address)
					})
					if n := f.site.LiveProducers("long"); n > 2 {
						t.Errorf("got runs on %d engines that are alive, want 2 at most", n)
					}
				})
			})
		}
	}
}

// Guards against a stream that is cut since its first engines count as attempts after they have exited:
// they left, one after the other, before they crashed.
func TestLeavingEnginesThatExitAreNoAttempts(t *testing.T) {
	for name, leave := range departures {
		for _, delay := range []time.Duration{20 * time.Millisecond, 400 * time.Millisecond, 900 * time.Millisecond} {
			t.Run(fmt.Sprintf("%s %s before", name, delay), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newFixture(t, 1)
					defer f.close()
					a := f.runLongStream(3, 1500*time.Millisecond, func(int) {
						e := f.busiestEngine()
						leave(f.site, e)
						time.Sleep(delay)
						f.site.Crash(e)
					})
					if a.body != wholeAnswer("long", 600) {
						t.Errorf("got %d with %d events (%v), want all 600", a.status, a.events, a.err)
					}
				})
			})
		}
	}
}
