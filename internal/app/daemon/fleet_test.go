package daemon_test

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"fulmarwick/internal/base/frame"
	"fulmarwick/internal/fakes/caller"
	"fulmarwick/internal/fakes/infra"
	"fulmarwick/internal/fakes/layer"
	"fulmarwick/internal/fakes/trial"
	"fulmarwick/internal/state/store"
)

const (
	// chatClients is the number of concurrent callers of model requests.
	chatClients = 16
	// payClients is the number of concurrent callers of payments.
	payClients = 4
	// faultSpacing is the number of answers between two faults.
	faultSpacing = 40
	// testTimeout bounds the whole test. It is the only time limit after which
	// the test fails.
	testTimeout  = 5 * time.Minute
	pollInterval = 10 * time.Millisecond
)

// cluster runs instances as processes, with a fake platform and fake engines in
// the test process.
type cluster struct {
	t        testing.TB
	ctx      context.Context
	site     *trial.Site
	balancer caller.Balancer
	live     map[string]*process
	bases    map[string]string
	started  int
	// watch is the interval at which instances read the list.
	watch time.Duration
}

func newCluster(t testing.TB, n int) *cluster {
	t.Helper()
	return newClusterAt(t, n, &trial.Site{LayerTime: 20 * time.Microsecond})
}

// newClusterAt starts n instances with a site that is not started yet.
func newClusterAt(t testing.TB, n int, site *trial.Site) *cluster {
	t.Helper()
	return newClusterWatch(t, n, site, 100*time.Millisecond)
}

func newClusterWatch(t testing.TB, n int, site *trial.Site, watch time.Duration) *cluster {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	t.Cleanup(cancel)
	e := &cluster{
		t: t, ctx: ctx, site: site, watch: watch,
		live: map[string]*process{}, bases: map[string]string{},
	}
	if err := e.site.Start(ctx); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.site.Close)
	for range n {
		e.start(trial.Centre)
	}
	for name := range e.live {
		e.ready(name)
	}
	e.balance()
	return e
}

// start launches one more instance in a data centre and adds it to the list.
func (e *cluster) start(centre string) string {
	e.t.Helper()
	return e.startWith(centre, "datacentre")
}

func (e *cluster) startWith(centre, span string) string {
	e.t.Helper()
	e.started++
	name := fmt.Sprintf("%s-%d", centre, e.started)
	path := filepath.Join(e.t.TempDir(), name+".ini")
	text := fmt.Sprintf(`[instance]
name = %s
datacentre = %s
region = my-west
span = %s
[listen]
callers = 127.0.0.1:0
operators = 127.0.0.1:0
peers = 127.0.0.1:0
[platform]
table = %s
watch = %s
[times]
grace = 100ms
`, name, centre, span, e.site.URL(), e.watch)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		e.t.Fatal(err)
	}
	p := launch(e.t, name, "serve", "--settings", path)
	e.live[name] = p
	e.bases[name] = "http://" + p.address(e.t, "daemon: serving callers")
	e.list(name, centre, frame.StateLive)
	return name
}

func (e *cluster) list(name, centre, state string) {
	e.site.List(store.ListedBody{
		ID: name, Role: store.RoleEntry, State: state, DataCentre: centre,
		URL: "http://" + e.live[name].address(e.t, "daemon: serving peers"),
	})
}

// ready waits until the instance reports that it is ready for callers.
func (e *cluster) ready(name string) {
	e.t.Helper()
	for {
		req, err := http.NewRequestWithContext(e.ctx, http.MethodGet, e.bases[name]+"/readyz", http.NoBody)
		if err != nil {
			e.t.Fatal(err)
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			e.t.Fatalf("got %v from %s, want an answer", err, name)
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return
		}
		pause(e.ctx)
	}
}

// balance makes the load balancer send callers to the live instances.
func (e *cluster) balance() {
	var bases []string
	for name := range e.live {
		bases = append(bases, e.bases[name])
	}
	e.balancer.Set(bases)
}

func (e *cluster) remove(name string) *process {
	p := e.live[name]
	delete(e.live, name)
	e.balance()
	return p
}

func pause(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(pollInterval):
	}
}

// work runs many callers with steady load and collects the results.
type work struct {
	e        *cluster
	stop     chan struct{}
	group    sync.WaitGroup
	mu       sync.Mutex
	answers  int
	cuts     int
	faults   []string
	outcomes map[string]string
}

func (e *cluster) work() *work {
	w := &work{e: e, stop: make(chan struct{}), outcomes: map[string]string{}}
	for i := range chatClients {
		w.group.Go(func() { w.ask(i) })
	}
	for i := range payClients {
		w.group.Go(func() { w.pay(i) })
	}
	return w
}

func (w *work) stopped() bool {
	select {
	case <-w.stop:
		return true
	default:
		return w.e.ctx.Err() != nil
	}
}

func (w *work) caller() *caller.Caller {
	return &caller.Caller{Balancer: &w.e.balancer, HTTP: &http.Client{Transport: &http.Transport{}}, Key: trial.Key}
}

func (w *work) ask(id int) {
	c := w.caller()
	for n := 0; !w.stopped(); n++ {
		text := fmt.Sprintf("explain notice %d of lorry %d", n, id)
		limit := 20 + (id+n)%40
		a, err := c.Stream(w.e.ctx, trial.Model, text, limit)
		tokens := layer.Generate("user: "+text+"\n", trial.Depth, limit)
		w.mu.Lock()
		w.answers++
		w.cuts += a.Cuts
		switch {
		case err != nil:
			w.faults = append(w.faults, fmt.Sprintf("lost: %s: %v", text, err))
		case a.Text != layer.Text(tokens):
			w.faults = append(w.faults, fmt.Sprintf("wrong: %s: got %q, want %q", text, a.Text, layer.Text(tokens)))
		case a.Tokens != len(tokens):
			w.faults = append(w.faults, fmt.Sprintf("duplicated: %s: got %d tokens, want %d", text, a.Tokens, len(tokens)))
		}
		w.mu.Unlock()
	}
}

func (w *work) pay(id int) {
	c := w.caller()
	for n := 0; !w.stopped(); n++ {
		key := fmt.Sprintf("instalment-%d-%d", id, n)
		o, err := c.Call(w.e.ctx, "payment", key, `{"amount":120}`)
		w.mu.Lock()
		if err != nil {
			w.faults = append(w.faults, fmt.Sprintf("payment %s: %v", key, err))
		}
		w.outcomes[key] = o.State
		w.mu.Unlock()
	}
}

// waitAnswers waits until n more answers have been received.
func (w *work) waitAnswers(n int) {
	want := w.count() + n
	for w.count() < want && w.e.ctx.Err() == nil {
		pause(w.e.ctx)
	}
}

func (w *work) count() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.answers
}

// finish stops the callers and checks their results.
func (w *work) finish(t *testing.T) {
	t.Helper()
	close(w.stop)
	w.group.Wait()
	for _, f := range w.faults {
		t.Error(f)
	}
	states := map[string]int{}
	for key, state := range w.outcomes {
		states[state]++
		runs := w.e.site.Desk().Runs(key)
		if runs > 1 {
			t.Errorf("got %d runs of %s, want at most 1", runs, key)
		}
		if state == "done" && runs != 1 {
			t.Errorf("got %d runs of %s which was reported done, want 1", runs, key)
		}
		if state == "notrun" && runs != 0 {
			t.Errorf("got %d runs of %s which was reported notrun, want 0", runs, key)
		}
	}
	t.Logf("%d complete answers, %d streams resumed, payments %v", w.answers, w.cuts, states)
}

// Callers send requests and payments all the time while instances are killed,
// stopped, frozen and replaced and the platform has an outage. Every answer
// must be complete, with no token twice, and no payment may run twice. A cut
// stream is resumed at another instance by its resume token, and payments are
// fenced by their record.
func TestFourInstancesUnderFaultsLoseNothing(t *testing.T) {
	e := newCluster(t, 4)
	w := e.work()
	w.waitAnswers(faultSpacing)

	e.remove("klang-1").kill()
	w.waitAnswers(faultSpacing)
	name := e.start(trial.Centre)
	e.ready(name)
	e.balance()
	w.waitAnswers(faultSpacing)

	e.list("klang-2", trial.Centre, frame.StateLeaving)
	if code := e.remove("klang-2").stop(); code != 0 {
		t.Errorf("got exit code %d of a stopped instance, want 0", code)
	}
	w.waitAnswers(faultSpacing)

	e.site.Table().SetFaults(infra.Faults{Unavailable: true})
	w.waitAnswers(faultSpacing)
	e.site.Table().SetFaults(infra.Faults{})
	w.waitAnswers(faultSpacing)

	frozen := e.remove("klang-3")
	frozen.freeze()
	w.waitAnswers(faultSpacing / 2)
	frozen.thaw()
	w.waitAnswers(faultSpacing)

	e.site.Engines()[1].Kill()
	w.waitAnswers(faultSpacing)
	e.site.Engines()[1].Revive()
	w.waitAnswers(faultSpacing)
	w.finish(t)
}

// A stopped instance must exit with code 0 only after its streams have ended.
// No stream may be cut, although new requests arrive until the load balancer
// knows of the stop.
func TestStopOfAnInstanceCutsNothing(t *testing.T) {
	e := newCluster(t, 2)
	w := e.work()
	w.waitAnswers(faultSpacing)
	if code := e.remove("klang-1").stop(); code != 0 {
		t.Errorf("got exit code %d, want 0", code)
	}
	w.waitAnswers(faultSpacing)
	w.finish(t)
	if w.cuts != 0 {
		t.Errorf("got %d cut streams, want 0", w.cuts)
	}
	if n := strings.Count(strings.Join(w.faults, "\n"), "lost"); n != 0 {
		t.Errorf("got %d lost answers, want 0", n)
	}
}

// A data centre without engines of the model forwards requests to another one
// over one hop. The instance that runs them is killed midway. No stream may be
// cut: the forwarding instance continues with another instance, checks the
// index of each token, and skips tokens that callers already have.
func TestForwardedAnswersAreWholeThoughTheirInstanceDies(t *testing.T) {
	e := newCluster(t, 2)
	far := e.start("penang")
	e.ready(far)
	e.balancer.Set([]string{e.bases[far]})
	w := e.work()
	w.waitAnswers(faultSpacing)
	e.live["klang-1"].kill()
	delete(e.live, "klang-1")
	w.waitAnswers(faultSpacing)
	w.finish(t)
	if w.cuts != 0 {
		t.Errorf("got %d cut streams, want 0", w.cuts)
	}
}

// All instances are replaced one after another under steady load, as in a
// rolling upgrade: a new instance joins and becomes ready, then an old one
// stops. No stream may be cut, no refusal may last, and each old instance must
// exit with code 0.
func TestRollingRestartCutsNothing(t *testing.T) {
	e := newCluster(t, 4)
	w := e.work()
	w.waitAnswers(faultSpacing / 2)
	for i := range 4 {
		joined := e.start(trial.Centre)
		e.ready(joined)
		old := fmt.Sprintf("%s-%d", trial.Centre, i+1)
		e.list(old, trial.Centre, frame.StateLeaving)
		if code := e.remove(old).stop(); code != 0 {
			t.Errorf("got exit code %d of %s, want 0", code, old)
		}
		e.site.Unlist(old)
		w.waitAnswers(faultSpacing / 2)
	}
	w.finish(t)
	if w.cuts != 0 {
		t.Errorf("got %d cut streams, want 0", w.cuts)
	}
}

// Three small data centres close to each other hold the model only together. An
// instance in one without engines must run chains over the engines of the
// others by itself, and lose nothing when the instance near the engines dies.
func TestChainsRunOverARegion(t *testing.T) {
	e := newCluster(t, 0)
	beside := e.startWith(trial.Centre, "region")
	far := e.startWith("penang", "region")
	e.ready(beside)
	e.ready(far)
	e.remove(beside).kill()
	w := e.work()
	w.waitAnswers(faultSpacing)
	w.finish(t)
}

// Nineteen instances, as many as fail in a day, are killed one after another in
// less than a minute. Each is replaced while callers send requests and
// payments. Every answer must be complete and no payment may run twice,
// whichever instance died while it was in progress.
func TestNineteenDeathsLoseNothing(t *testing.T) {
	e := newCluster(t, 4)
	w := e.work()
	for i := range 19 {
		w.waitAnswers(5)
		e.remove(fmt.Sprintf("%s-%d", trial.Centre, i+1)).kill()
		e.site.Unlist(fmt.Sprintf("%s-%d", trial.Centre, i+1))
		joined := e.start(trial.Centre)
		e.ready(joined)
		e.balance()
	}
	w.waitAnswers(faultSpacing)
	w.finish(t)
}
