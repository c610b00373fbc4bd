package edge_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"fulmarwick/internal/app/edge"
	"fulmarwick/internal/fakes/depot"
	"fulmarwick/platform/stand"

	"go.uber.org/zap"
)

const (
	// probeInterval is the time between two requests to each instance.
	probeInterval = 100 * time.Millisecond
	// rollbackSlack is how long after the effect of a configuration was seen an instance may still
	// answer by an older one.
	rollbackSlack = 250 * time.Millisecond
	// restoreSeeds is how many days are drawn for each size of fleet.
	restoreSeeds = 6
	// restoreKeys is how many API keys there are at first.
	restoreKeys = 12
)

// restoreDay is a day on which the store comes back from an older copy, drawn from a seed.
type restoreDay struct {
	*fixture
	random  *rand.Rand
	version int
	// keys are the API keys that the last configuration allows.
	keys []string
	// leaving are plain upstreams that may still leave.
	leaving  []*stand.PlainUpstream
	failing  atomic.Bool
	extra    int
	stopping []func()
	stop     chan struct{}
	probes   sync.WaitGroup
}

// between draws a duration.
func (d *restoreDay) between(from, to time.Duration) time.Duration {
	return from + time.Duration(d.random.Int64N(int64(to-from)+1))
}

// newRestoreDay starts instances before upstreams, of which some will leave.
func newRestoreDay(t *testing.T, instances int, seed uint64) *restoreDay {
	d := &restoreDay{fixture: newFixture(t, instances), random: rand.New(rand.NewPCG(seed, uint64(instances))), version: 1, extra: 100, stop: make(chan struct{})}
	d.site.Bounds = stand.Bounds{Leave: maxPropagationTime, Apply: maxPropagationTime, Rollback: rollbackSlack}
	fault := []stand.Fault{{Unavailable: true}, {Unresponsive: true}}[d.random.IntN(2)]
	d.site.Store.SetFault(func(*http.Request) stand.Fault {
		if d.failing.Load() {
			return fault
		}
		return stand.Fault{}
	})
	for n := range 8 {
		u := &stand.PlainUpstream{ID: fmt.Sprintf("leaving-%d", n), Address: fmt.Sprintf("10.%d.66.%d:8080", 1+n%3, n+1), Zone: d.site.PlainUpstreams()[n%3].Zone, WorkTime: 10 * time.Millisecond}
		d.site.AddPlainUpstream(u)
		d.leaving = append(d.leaving, u)
	}
	for n := range restoreKeys {
		d.keys = append(d.keys, fmt.Sprintf("key-%d", n))
	}
	d.site.PutKeys(2, d.keys...)
	d.version = 2
	return d
}

// change drops a key, or has an upstream say that it leaves, or both.
func (d *restoreDay) change() {
	if d.random.IntN(4) > 0 {
		d.version += 1 + d.random.IntN(3)
		d.keys = slices.Delete(d.keys, 0, 1)
		d.site.PutKeys(d.version, d.keys...)
	}
	if d.random.IntN(4) > 0 && len(d.leaving) > 0 {
		u := d.leaving[0]
		d.leaving = d.leaving[1:]
		if d.random.IntN(2) == 0 {
			d.site.DrainInStore(u)
		} else {
			d.site.RemoveFromStore(u)
		}
	}
}

// restore has the store go away and come back from a copy that lacks some changes. What the operator
// and the upstreams wrote is written again after some time, then further changes come.
func (d *restoreDay) restore() {
	copied := time.Now()
	time.Sleep(d.between(0, time.Second))
	for range d.random.IntN(3) {
		d.change()
		time.Sleep(d.between(0, 2*time.Second))
	}
	// Changes that came shortly before the store went away may not have reached anybody.
	time.Sleep(time.Second)
	d.failing.Store(true)
	time.Sleep(d.between(0, 3*time.Second))
	lost := d.site.Store.Restore(time.Since(copied))
	d.failing.Store(false)
	d.site.EndDisruption()
	time.Sleep(d.between(0, 300*time.Millisecond))
	if d.random.IntN(2) == 0 {
		d.startAnother()
	}
	time.Sleep(d.between(0, 1200*time.Millisecond))
	d.site.Store.Rewrite(lost)
	for range 1 + d.random.IntN(3) {
		time.Sleep(d.between(0, 1500*time.Millisecond))
		d.change()
	}
}

// startAnother starts an instance and sends it requests like the others.
func (d *restoreDay) startAnother() {
	d.extra++
	k := d.extra
	s := depot.Settings(k)
	d.stopping = append(d.stopping, d.runInstance(&edge.Instance{Settings: s, Log: zap.NewNop(), Dial: d.site.DialFrom(s.Instance.Name), Listen: d.site.Net.Listen}))
	client := &http.Client{Transport: &http.Transport{DialContext: d.site.Dial}}
	d.stopping = append(d.stopping, client.CloseIdleConnections)
	d.probes.Go(func() { d.probe(k, client) })
}

// probe sends an instance requests with each key in turn, until the end of the day.
func (d *restoreDay) probe(k int, client *http.Client) {
	name := depot.Settings(k).Instance.Name
	for n := 0; ; n++ {
		select {
		case <-d.stop:
			return
		case <-time.After(probeInterval):
		}
		key, sent := fmt.Sprintf("key-%d", n%restoreKeys), time.Now()
		req, err := http.NewRequest(http.MethodPost, "http://"+depot.Settings(k).Listen.Callers+"/look/1", strings.NewReader("look"))
		if err != nil {
			d.t.Error(err)
			return
		}
		req.Host = "site.example"
		req.Header.Set("Request-Id", fmt.Sprintf("probe-%d-%d", k, n))
		stand.SetKey(req, key)
		stand.SetDeadline(req, 3*time.Second)
		resp, err := client.Do(req)
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK || resp.StatusCode == http.StatusUnauthorized {
			d.site.CheckKey(name, key, sent, resp.StatusCode == http.StatusOK)
		}
	}
}

// run plays a day with one to three returns of the store.
func (d *restoreDay) run() {
	if d.random.IntN(2) == 0 {
		defer d.startHeartbeats()()
	}
	time.Sleep(maxPropagationTime)
	for k := range d.instances {
		d.probes.Go(func() { d.probe(k, d.clients[k]) })
	}
	time.Sleep(time.Second)
	for range 1 + d.random.IntN(3) {
		d.restore()
		time.Sleep(d.between(0, 4*time.Second))
	}
	time.Sleep(6 * time.Second)
	close(d.stop)
	d.probes.Wait()
	for _, stop := range d.stopping {
		stop()
	}
}

// Guards against changes that instances lose after the store came back from an older copy: dropped keys
// that are let in, upstreams that left and get requests, configurations that go back.
func TestRestoredStoreLosesNoChange(t *testing.T) {
	for _, n := range restoreFleetSizes {
		for seed := range uint64(restoreSeeds) {
			t.Run(fmt.Sprintf("%d instances, seed %d", n, seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					d := newRestoreDay(t, n, seed)
					defer d.close()
					d.run()
				})
			})
		}
	}
}
