package edge_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"fulmarwick/internal/app/setup"
	"fulmarwick/internal/fakes/depot"
	"fulmarwick/platform/stand"
)

// configBody is the decoded body of a configuration.
type configBody map[string]any

// each calls edit for each entry of a list of the configuration.
func (c configBody) each(list string, edit func(map[string]any)) {
	for _, entry := range c[list].([]any) {
		edit(entry.(map[string]any))
	}
}

// eachModel calls edit for the engine settings of each model service.
func (c configBody) eachModel(edit func(map[string]any)) {
	c.each("services", func(s map[string]any) {
		if engine, ok := s["engine"].(map[string]any); ok {
			edit(engine)
		}
	})
}

// configChange is a change of the configuration, of the list of upstreams or of the settings
// of an instance.
type configChange struct {
	name string
	// edit changes the configuration; it may be nil.
	edit func(configBody)
	// row is a row that is added to the list of upstreams instead.
	row []byte
	// retry holds the retry limits that the instance reads when it reloads its settings,
	// if there is neither an edit nor a row.
	retry setup.Retry
	// rejections are the statuses, besides those that promise that a request has not run,
	// with which requests that arrive after the change may be answered without a run.
	rejections []int
	// shortens means that later requests may reach their timeout.
	shortens bool
	// anyService means that later requests may be answered by another service.
	anyService bool
	// starves means that no further run may find an engine or a retry.
	starves bool
}

// setEach returns an edit that sets a field of each entry of a list.
func setEach(list, field string, value any) func(configBody) {
	return func(c configBody) { c.each(list, func(entry map[string]any) { entry[field] = value }) }
}

// setModel returns an edit that sets a field of the engine settings.
func setModel(field string, value any) func(configBody) {
	return func(c configBody) { c.eachModel(func(engine map[string]any) { engine[field] = value }) }
}

// moreLayers and fewerLayers are other numbers of layers than the model of the deployment has.
const (
	moreLayers  = 90
	fewerLayers = 70
)

// configChanges are changes that must not end a request that arrived before them.
var configChanges = []configChange{
	{name: "none", edit: func(configBody) {}},
	{name: "timeouts shortened", edit: setEach("routes", "timeout-ms", 80), shortens: true},
	{name: "targets shortened", edit: setEach("routes", "target-latency-ms", 1)},
	{name: "attempts lowered", edit: setEach("routes", "max-attempts", 1)},
	{name: "streams not resumable", edit: setEach("routes", "stream-resume", false)},
	{name: "priorities changed", edit: setEach("tenants", "priority", 9)},
	{name: "keys replaced", edit: setEach("tenants", "api-keys", []string{"other"}), rejections: []int{http.StatusUnauthorized}},
	{name: "teams replaced", edit: func(c configBody) {
		c["tenants"] = []any{map[string]any{"name": "other", "api-keys": []string{"other"}}}
	}, rejections: []int{http.StatusUnauthorized}},
	{name: "routes moved to an empty service", edit: func(c configBody) {
		c["services"] = append(c["services"].([]any), map[string]any{"name": "empty"})
		setEach("routes", "service", "empty")(c)
	}},
	{name: "routes swap their services", edit: func(c configBody) {
		swapped := map[string]any{"writer": "desk", "desk": "writer"}
		c.each("routes", func(r map[string]any) { r["service"] = swapped[r["service"].(string)] })
	}, anyService: true},
	{name: "routes split with an empty service", edit: func(c configBody) {
		c["services"] = append(c["services"].([]any), map[string]any{"name": "empty"})
		c.each("routes", func(r map[string]any) {
			r["traffic-split"] = []any{map[string]any{"service": r["service"], "weight": 1}, map[string]any{"service": "empty", "weight": 1}}
		})
	}},
	{name: "routes removed", edit: func(c configBody) { c["routes"] = []any{} }, rejections: []int{http.StatusNotFound}},
	{name: "services removed", edit: func(c configBody) { c["routes"], c["services"] = []any{}, []any{} }, rejections: []int{http.StatusNotFound}},
	{name: "limits lowered", edit: lowerLimits, rejections: []int{http.StatusRequestEntityTooLarge}},
	{name: "slower model", edit: func(c configBody) {
		setModel("step_ms", 9.0)(c)
		setModel("read_per_s", 50000)(c)
	}},
	{name: "more layers", edit: setModel("layers", moreLayers), starves: true},
	{name: "less memory", edit: func(c configBody) {
		c.eachModel(func(engine map[string]any) {
			for _, k := range engine["kinds"].([]any) {
				k.(map[string]any)["mb"] = 50000
			}
		})
	}, starves: true},
	{name: "no cards", edit: setModel("kinds", []any{}), starves: true},
	{name: "model service made plain", edit: func(c configBody) {
		c.each("services", func(s map[string]any) { delete(s, "engine") })
	}, rejections: []int{http.StatusBadGateway}},
	{name: "plain service made a model", edit: func(c configBody) {
		c.eachModel(func(engine map[string]any) { setEach("services", "engine", engine)(c) })
	}},
	{name: "retry budget replaced", retry: setup.Retry{Ratio: 0.2, Allowance: 196, Window: 3 * time.Second}},
	{name: "no retries", retry: setup.Retry{Window: time.Second}, starves: true},
}

// lowerLimits lowers the limits to the least that a caller can meet, and no request may
// have a body any more.
func lowerLimits(c configBody) {
	c["limits"] = map[string]any{"max-header-bytes": 16384, "max-body-bytes": 1, "header-timeout-ms": 20, "idle-timeout-ms": 20}
}

// changeStorm returns all changes of the configuration one after another; the last one
// brings back the first configuration.
func changeStorm() []configChange {
	out := slices.DeleteFunc(slices.Clone(configChanges), func(c configChange) bool { return c.edit == nil })
	return append(out, configChanges[0])
}

// streamTarget is the target latency of streams in these tests: they wait long for capacity.
const streamTarget = 5 * time.Second

// apply applies a change as the operator does.
func (f *fixture) apply(version int, c configChange) {
	f.t.Helper()
	if c.row != nil {
		f.site.Store.Put("servers", "added", c.row)
		return
	}
	if c.edit == nil {
		f.instances[0].ReadSettings = func() (setup.Settings, error) { return setup.Settings{Retry: c.retry}, nil }
		f.instances[0].Reload()
		return
	}
	body := configBody{}
	if err := json.Unmarshal(f.site.Config(version), &body); err != nil {
		f.t.Fatal(err)
	}
	body.each("routes", func(r map[string]any) {
		if r["kind"] == "streaming" {
			r["target-latency-ms"] = streamTarget.Milliseconds()
		}
	})
	c.edit(body)
	data, err := json.Marshal(body)
	if err != nil {
		f.t.Fatal(err)
	}
	f.site.Store.Put("op", "config", data)
}

// changeTraffic is the traffic around a change of the configuration.
type changeTraffic struct {
	f       *fixture
	callers sync.WaitGroup
	mu      sync.Mutex
	served  map[string]int
}

// expectation describes which answers a request may get besides its complete one.
type expectation struct {
	// refusal allows a refusal that promises that the request has not run.
	refusal bool
	// rejections are further statuses without a run.
	rejections []int
	// timeout allows the request to reach its deadline, but not to end before.
	timeout time.Duration
	// anyService allows the answer of either service.
	anyService bool
}

// expectAfter returns what a request may get that arrives after the changes began.
func expectAfter(changes []configChange) expectation {
	e := expectation{refusal: true}
	for _, c := range changes {
		e.rejections = append(e.rejections, c.rejections...)
		e.anyService = e.anyService || c.anyService
		if c.shortens {
			e.timeout = 80 * time.Millisecond
		}
	}
	return e
}

// starve reports whether one of the changes leaves no engine or retry for further runs.
func starve(changes []configChange) bool {
	return slices.ContainsFunc(changes, func(c configChange) bool { return c.starves })
}

// expectBefore returns what a request may get that arrived before the changes. Without
// engines or retries, a request that needs another run may reach its deadline.
func expectBefore(changes []configChange, deadline time.Duration) expectation {
	if starve(changes) {
		return expectation{timeout: deadline}
	}
	return expectation{}
}

// check checks the answer of a request that was sent at start. group counts the complete
// answers.
func (c *changeTraffic) check(group, id string, start time.Time, a callerResponse, events int, e expectation) {
	c.f.t.Helper()
	took := time.Since(start)
	plain, stream := "answer of "+id, wholeAnswer(id, events)
	whole := events > 0 && a.body == stream || events == 0 && a.body == plain || e.anyService && (a.body == plain || a.body == stream)
	if a.err == nil && a.status == http.StatusOK && whole {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.served[group]++
		return
	}
	// A refusal must still hold after any upstream could have begun to run the request.
	time.Sleep(5 * time.Second)
	runs := c.f.site.Runs(id)
	promised := a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests
	refused := a.err == nil && runs == 0 && (e.refusal && promised || slices.Contains(e.rejections, a.status))
	timedOut := e.timeout > 0 && took >= e.timeout && (a.status == http.StatusGatewayTimeout || a.status == http.StatusOK && a.err != nil)
	if !refused && !timedOut {
		c.f.t.Errorf("got %d %.40q with %d events (%v) after %s and %d runs for %s, want the complete answer or, if allowed, a refusal without a run", a.status, a.body, a.events, a.err, took, runs, id)
	}
}

// send sends n requests of a group in the background, one every 20 ms. A request for a
// stream has that many events, a plain request has none.
func (c *changeTraffic) send(group, path string, n, prompt, events int, e expectation) {
	for k := range n {
		id, tokens := fmt.Sprintf("%s-%d", group, k), ""
		if events > 0 {
			tokens = fmt.Sprintf("%d,%d", prompt, 3*events)
		}
		c.callers.Go(func() {
			start := time.Now()
			c.check(group, id, start, c.f.request(0, http.MethodPost, path, id, tokens), events, e)
		})
		time.Sleep(20 * time.Millisecond)
	}
}

// readRawResponse reads one response from a connection.
func readRawResponse(r *bufio.Reader) callerResponse {
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		return callerResponse{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return callerResponse{status: resp.StatusCode, header: resp.Header, body: string(data), err: err}
}

// crowdedDeployment has engines whose KV memory holds a few long requests, and two plain
// upstreams.
var crowdedDeployment = stand.Deployment{
	Cards:  []stand.Card{{Name: "a100", MemoryMB: 72000, StepFactor: 2.4, PrefillFactor: 3.2, EvenLayers: 20}},
	Zones:  []stand.Zone{{Name: "east", EnginesPerCard: []int{5}}, {Name: "north", EnginesPerCard: []int{0}}},
	Layers: 80, LayerMB: 1750, TokenBytes: 9180000, PrefillRate: 105000, TypicalPrompt: 774, TypicalAnswer: 200,
}

// chooseChangeOutcome makes slow bookings run 2.5 s after they arrive, and the first run of
// each look-up hang.
func chooseChangeOutcome() func(*http.Request) stand.Outcome {
	var mu sync.Mutex
	seen := map[string]bool{}
	return func(r *http.Request) stand.Outcome {
		mu.Lock()
		defer mu.Unlock()
		id := r.Header.Get("Request-Id")
		first := !seen[id]
		seen[id] = true
		switch {
		case strings.HasPrefix(id, "slow"):
			return stand.OutcomeDelayed
		case strings.HasPrefix(id, "look") && first:
			return stand.OutcomeHang
		}
		return stand.OutcomeOK
	}
}

// newChangeFixture starts one instance before few engines, and returns traffic through it.
func newChangeFixture(t *testing.T) *changeTraffic {
	t.Helper()
	f := newFixtureFrom(t, &depot.Depot{Instances: 1, Deployment: crowdedDeployment})
	choose := chooseChangeOutcome()
	for _, u := range f.site.PlainUpstreams() {
		u.ChooseOutcome = choose
	}
	f.site.AcceptLayers(moreLayers, fewerLayers)
	f.apply(2, configChanges[0])
	time.Sleep(time.Second)
	return &changeTraffic{f: f, served: map[string]int{}}
}

// applyAll applies changes one after another. Requests arrive at the moment of each.
func (c *changeTraffic) applyAll(changes []configChange) {
	after := expectAfter(changes)
	for k, change := range changes {
		c.f.apply(3+k, change)
		c.send(fmt.Sprintf("stream-at-%d", k), "/write/1", 2, 100, 10, after)
		c.send(fmt.Sprintf("booking-at-%d", k), "/book/1", 2, 0, 0, after)
	}
}

// runChanges runs a test for each change, and one for all of them one after another.
func runChanges(t *testing.T, test func(t *testing.T, changes []configChange)) {
	t.Helper()
	tests := map[string][]configChange{"all one after another": changeStorm()}
	for _, c := range configChanges {
		tests[c.name] = []configChange{c}
	}
	for name, changes := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { test(t, changes) })
		})
	}
}

// Guards against requests that a change of the configuration ends without an answer or a
// true refusal: streams that run or wait, slow bookings, look-ups between two attempts.
func TestConfigChangeEndsNoRequest(t *testing.T) {
	runChanges(t, testRequestsDuringChanges)
}

func testRequestsDuringChanges(t *testing.T, changes []configChange) {
	const waiting = 8
	c := newChangeFixture(t)
	defer c.f.close()
	c.send("running", "/write/1", 4, 2000, 200, expectation{})
	time.Sleep(300 * time.Millisecond)
	c.send("waiting", "/write/1", waiting, 2000, 200, expectation{refusal: true})
	c.send("slow", "/book/1", 3, 0, 0, expectation{})
	c.send("look", "/look/1", 2, 0, 0, expectBefore(changes, 3*time.Second))
	c.applyAll(changes)
	c.callers.Wait()
	if n := c.served["waiting"]; n <= waiting/2 && !starve(changes) {
		t.Errorf("got %d of %d waiting streams served, want most of them", n, waiting)
	}
}

// Guards against cutting a stream whose engine died when the configuration changes while
// the stream waits for another engine.
func TestConfigChangeCutsNoInterruptedStream(t *testing.T) {
	runChanges(t, func(t *testing.T, changes []configChange) {
		const running = 4
		c := newChangeFixture(t)
		defer c.f.close()
		c.send("running", "/write/1", running, 2000, 200, expectBefore(changes, 20*time.Second))
		time.Sleep(300 * time.Millisecond)
		c.f.site.RejectRuns(true)
		c.f.site.Crash(c.f.busiestReadyEngine())
		time.Sleep(100 * time.Millisecond)
		c.applyAll(changes)
		time.Sleep(300 * time.Millisecond)
		c.f.site.RejectRuns(false)
		c.callers.Wait()
		runs := 0
		for k := range running {
			runs += c.f.site.Runs(fmt.Sprintf("running-%d", k))
		}
		if runs <= running && !starve(changes) {
			t.Errorf("got %d runs of %d streams, want more: the crash must interrupt some", runs, running)
		}
	})
}

// childVariable makes TestFewerLayersEndNoProcess run one of its cases in its own process.
const childVariable = "FULMARWICK_TEST_CHILD"

// Guards against a process that ends, with all its requests, because engines hold layers
// that the model does not have: the operator lowers the number of layers, or a row is wrong.
func TestFewerLayersEndNoProcess(t *testing.T) {
	tests := map[string]configChange{
		"configuration": {edit: setModel("layers", fewerLayers), starves: true},
		"row":           {row: []byte(`{"service":"writer","address":"10.1.64.99:8080","zone":"east","state":"ready","slots":1,"kind":"a100","layers":{"from":60,"to":120,"version":1},"born":1}`), starves: true},
	}
	for name, change := range tests {
		t.Run(name, func(t *testing.T) {
			if os.Getenv(childVariable) != "" {
				synctest.Test(t, func(t *testing.T) { testRequestsDuringChanges(t, []configChange{change}) })
				return
			}
			cmd := exec.Command(os.Args[0], "-test.run=^TestFewerLayersEndNoProcess$/^"+name+"$", "-test.timeout=60s")
			cmd.Env = append(os.Environ(), childVariable+"=1")
			if out, err := cmd.CombinedOutput(); err != nil {
				t.Errorf("got %v from a process with an instance, want all requests answered; its output begins with\n%.1500s", err, out)
			}
		})
	}
}

// Guards against closing a connection whose request arrives in parts, is answered late or
// follows an idle time, when the limits are lowered meanwhile, also by a stopping instance.
func TestLowerLimitsCloseNoConnectionInUse(t *testing.T) {
	tests := []struct {
		name string
		id   string
		// unsent is how many bytes of the request are sent only after the change.
		unsent int
		// wait is the time until then, and waitStopping that time if the instance stops.
		wait, waitStopping time.Duration
	}{
		{"idle", "b", 1 << 10, 12 * time.Second, 500 * time.Millisecond},
		{"part of the header", "b", len("prompt\r\n\r\n") + 4, 2 * time.Second, 500 * time.Millisecond},
		{"part of the body", "b", 2, 2500 * time.Millisecond, 2500 * time.Millisecond},
		{"whole request", "slow", 0, 0, 0},
	}
	for _, test := range tests {
		for _, stops := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, stops %v", test.name, stops), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					c := newChangeFixture(t)
					defer c.f.close()
					conn := c.f.openRawConn(c.f.encodeRequest("/book/1", "first", ""))
					defer func() { _ = conn.Close() }()
					reader := bufio.NewReader(conn)
					c.check("first", "first", time.Now(), readRawResponse(reader), 0, expectation{})
					text := c.f.encodeRequest("/book/1", test.id, "")
					part := max(0, len(text)-test.unsent)
					write := func(s string) {
						if s == "" {
							return
						}
						if _, err := io.WriteString(conn, s); err != nil {
							t.Errorf("got %v while writing, want the request to be read", err)
						}
					}
					write(text[:part])
					time.Sleep(10 * time.Millisecond)
					c.f.apply(3, configChange{edit: func(body configBody) {
						lowerLimits(body)
						body["limits"].(map[string]any)["max-body-bytes"] = 100
					}})
					time.Sleep(100 * time.Millisecond)
					if part == 0 && !stops {
						// The idle time starts after an answer under the lower limits.
						write(c.f.encodeRequest("/book/1", "again", ""))
						c.check("again", "again", time.Now(), readRawResponse(reader), 0, expectation{})
					}
					wait := test.wait
					if stops {
						wait = test.waitStopping
						c.f.instances[0].Stop()
					}
					time.Sleep(wait)
					write(text[part:])
					c.check("second", test.id, time.Now(), readRawResponse(reader), 0, expectation{})
				})
			})
		}
	}
}
