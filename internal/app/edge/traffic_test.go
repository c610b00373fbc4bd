package edge_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"fulmarwick/internal/app/setup"
	"fulmarwick/platform/stand"
)

// traffic is requests of one kind, sent steadily, and the upstream that tells the instances
// to send it none. The site records a violation if they don't comply.
type traffic struct {
	name string
	// target returns the upstream that tells it.
	target func(f *fixture) stand.Upstream
	// send sends request n and checks its answer.
	send func(f *fixture, n int)
	// interval is the time between two requests.
	interval time.Duration
	// prepare is called before the first request, disturb while requests are sent. They
	// bring requests to the target on other ways than that of a first attempt. Both may be
	// nil.
	prepare func(f *fixture)
	disturb func(f *fixture, target stand.Upstream)
}

const (
	// usualInterval is the time between two requests.
	usualInterval = 10 * time.Millisecond
	// longerInterval is that of longer streams, of which more run at a time.
	longerInterval = 20 * time.Millisecond
)

// allTraffic lists the ways on which requests reach upstreams.
var allTraffic = []traffic{
	{"streams", (*fixture).firstStageTarget, (*fixture).sendShortStream, usualInterval, nil, nil},
	{"streams refused elsewhere", (*fixture).firstStageTarget, (*fixture).sendShortStream, usualInterval, nil, (*fixture).refuseElsewhere},
	{"streams begun anew", (*fixture).firstStageTarget, (*fixture).sendLongerStream, longerInterval, nil, (*fixture).crashElsewhere},
	{"look-ups", (*fixture).plainTarget, (*fixture).sendLookUp, usualInterval, nil, nil},
	{"hedged look-ups", (*fixture).plainTarget, (*fixture).sendLookUp, usualInterval, (*fixture).slowElsewhere, nil},
	{"bookings", (*fixture).plainTarget, (*fixture).sendBooking, usualInterval, (*fixture).slowElsewhere, nil},
	{"bookings refused elsewhere", (*fixture).plainTarget, (*fixture).sendBooking, usualInterval, nil, (*fixture).refuseElsewhere},
}

// mainTraffic lists one way for each kind of request.
var mainTraffic = []traffic{allTraffic[0], allTraffic[4], allTraffic[5]}

func (f *fixture) firstStageTarget() stand.Upstream { return f.busiestEngine() }

func (f *fixture) plainTarget() stand.Upstream { return f.site.PlainUpstreams()[0] }

func (f *fixture) sendShortStream(n int) { f.sendStreamOf(n, 20) }

func (f *fixture) sendLongerStream(n int) { f.sendStreamOf(n, 60) }

func (f *fixture) sendStreamOf(n, events int) {
	id := fmt.Sprintf("s%d", n)
	a := f.request(n%len(f.instances), http.MethodPost, "/write/1", id, fmt.Sprintf("300,%d", events*3))
	if a.status != http.StatusOK || a.body != wholeAnswer(id, events) {
		f.t.Errorf("got %d with %d events (%v) for %s, want %d", a.status, a.events, a.err, id, events)
	}
}

func (f *fixture) sendLookUp(n int) { f.sendPlain(n, http.MethodGet, "/look/1") }

func (f *fixture) sendBooking(n int) { f.sendPlain(n, http.MethodPost, "/book/1") }

func (f *fixture) sendPlain(n int, method, path string) {
	id := fmt.Sprintf("p%d", n)
	a := f.request(n%len(f.instances), method, path, id, "")
	if a.status != http.StatusOK || a.body != "answer of "+id {
		f.t.Errorf("got %d %q (%v) for %s, want its own answer", a.status, a.body, a.err, id)
	}
}

// otherFirstStages returns the n engines other than the target that are the first stage of
// the most runs.
func (f *fixture) otherFirstStages(target stand.Upstream, n int) (out []*stand.Engine) {
	taken := map[stand.Upstream]bool{target: true}
	for range n {
		e := f.busiestEngineOf(func(e *stand.Engine) bool { return !taken[e] })
		taken[e] = true
		out = append(out, e)
	}
	return out
}

// refuseElsewhere makes other upstreams refuse requests for a while, without a wish for
// rest, so that the requests are repeated.
func (f *fixture) refuseElsewhere(target stand.Upstream) {
	until := time.Now().Add(6 * time.Second)
	if _, ok := target.(*stand.Engine); !ok {
		f.site.ShedFor(f.site.PlainUpstreams()[1], until)
		return
	}
	for _, e := range f.otherFirstStages(target, 3) {
		f.site.ShedFor(e, until)
	}
}

// crashElsewhere crashes engines with many streams one after the other while the target
// rests, so that these streams begin anew.
func (f *fixture) crashElsewhere(target stand.Upstream) {
	for range 2 {
		time.Sleep(1200 * time.Millisecond)
		f.site.Crash(f.otherFirstStages(target, 1)[0])
	}
}

// slowElsewhere makes all plain upstreams but the target so slow that look-ups are hedged
// and that the target seems to answer sooner.
func (f *fixture) slowElsewhere() {
	for _, u := range f.site.PlainUpstreams() {
		if u != f.plainTarget() {
			u.ChooseOutcome = func(*http.Request) stand.Outcome {
				time.Sleep(150 * time.Millisecond)
				return stand.OutcomeOK
			}
		}
	}
}

// sendSteadily sends requests of one kind through all instances in turn. After a second it
// calls action in the background, and it ends once action has returned and all requests are
// answered.
func (f *fixture) sendSteadily(tr traffic, action func(target stand.Upstream)) {
	if tr.prepare != nil {
		tr.prepare(f)
	}
	var callers sync.WaitGroup
	done := make(chan struct{})
	for n, ended := 0, false; !ended; n++ {
		if n == int(time.Second/tr.interval) {
			go func() {
				defer close(done)
				action(tr.target(f))
			}()
		}
		callers.Go(func() { tr.send(f, n) })
		time.Sleep(tr.interval)
		select {
		case <-done:
			ended = true
		default:
		}
	}
	callers.Wait()
}

// newNoticeFixture starts a site with n instances that may repeat requests as often as they
// want, so that refusals can't use up the repeats of requests that died.
func newNoticeFixture(t *testing.T, n int) *fixture {
	return newFixtureWithRetry(t, n, setup.Retry{Ratio: 1, Allowance: 2000, Window: 10 * time.Second})
}

// runShedding sends requests while the target refuses all of them for five seconds, and
// for a while after that. meanwhile is called in that time.
func (f *fixture) runShedding(tr traffic, retryAfter []string, meanwhile func(target stand.Upstream)) {
	f.sendSteadily(tr, func(target stand.Upstream) {
		f.site.ShedFor(target, time.Now().Add(5*time.Second), retryAfter...)
		var background sync.WaitGroup
		if tr.disturb != nil {
			background.Go(func() { tr.disturb(f, target) })
		}
		background.Go(func() { meanwhile(target) })
		time.Sleep(7 * time.Second)
		background.Wait()
		if f.site.ShedCount(target) < 2 {
			f.t.Errorf("got %d requests refused by the target, want some", f.site.ShedCount(target))
		}
	})
}
