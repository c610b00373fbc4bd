package edge_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"fulmarwick/internal/fakes/inmem"
	"fulmarwick/platform/stand"
)

// Guards against answers that look complete and are not, where an answer has no length and ends
// with its connection: inside an event, by a reset, or inside its head. Instances serve callers themselves, and one
// passes its requests on.
func TestAnswersThatEndWithTheirConnectionAreWhole(t *testing.T) {
	for _, framing := range []stand.Framing{stand.FramingNone, stand.FramingBroken, stand.FramingCutHead} {
		t.Run(fmt.Sprint(framing), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, 4)
				defer time.Sleep(inmem.ConnectTimeout)
				defer f.close()
				random := rand.New(rand.NewPCG(1, 2)) //nolint:gosec // The seed repeats the test.
				var mu sync.Mutex
				f.site.SetFraming(func() stand.Framing {
					mu.Lock()
					defer mu.Unlock()
					if random.IntN(10) == 0 {
						return framing
					}
					return stand.FramingNone
				})
				f.site.CutInstance("edge-0", inmem.CutReset)
				if whole, sent := f.sendFramed(); whole < sent*9/10 {
					t.Errorf("got %d of %d requests served, want nine in ten", whole, sent)
				}
			})
		})
	}
}

// sendFramed sends streams, look-ups and bookings to all instances, and returns how many were
// served. The site fails if an answer looks complete and is not.
func (f *fixture) sendFramed() (whole, sent int) {
	const rounds = 120
	var served atomic.Int64
	var callers sync.WaitGroup
	for n := range rounds {
		for k := range f.clients {
			callers.Go(func() {
				if f.sendOneFramed(k, n) {
					served.Add(1)
				}
			})
		}
		time.Sleep(50 * time.Millisecond)
	}
	callers.Wait()
	return int(served.Load()), rounds * len(f.clients)
}

func (f *fixture) sendOneFramed(k, n int) bool {
	id := fmt.Sprintf("r%d-%d", k, n)
	want, method, path, tokens := "answer of "+id, http.MethodGet, "/look/"+id, ""
	switch {
	case n%10 == 0:
		method, path = http.MethodPost, "/book/"+id
	case n%2 == 0:
		want, method, path, tokens = wholeAnswer(id, 20), http.MethodPost, "/write/"+id, "300,60"
	}
	a := f.request(k, method, path, id, tokens)
	f.site.RecordAnswer(id, a.status, a.body, want, a.err != nil)
	if runs := f.site.Runs(id); method == http.MethodPost && tokens == "" && runs > 1 {
		f.t.Errorf("got %d runs of booking %s, want one at most", runs, id)
	}
	return a.status == http.StatusOK && a.err == nil
}

// Guards against upstreams that send bytes without end in a body or a stream: their callers must get true
// answers, and the instance must not read all of it.
func TestEndlessAnswersAreCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 4)
		defer time.Sleep(inmem.ConnectTimeout)
		defer f.close()
		var answers atomic.Int64
		f.site.SetFraming(func() stand.Framing {
			if answers.Add(1)%10 == 0 {
				return stand.FramingEndless
			}
			return stand.FramingChunked
		})
		if whole, sent := f.sendFramed(); whole < sent*9/10 {
			t.Errorf("got %d of %d requests served, want nine in ten", whole, sent)
		}
	})
}
