package daemon_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"fulmarwick/internal/app/daemon"
	"fulmarwick/internal/app/setup"
	"fulmarwick/internal/base/frame"
	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/fakes/layer"
	"fulmarwick/internal/fakes/trial"
	"fulmarwick/internal/state/config"
	"fulmarwick/internal/state/store"
	"fulmarwick/internal/wire/admin"

	"go.uber.org/zap"
)

const key = trial.Key

func snapshot() *config.Snapshot {
	classes := []spec.Class{
		spec.NewModelClass("answer", trial.Model, spec.NewTarget(time.Second, time.Second, 0, 95)),
		spec.NewPlainClass("payment", trial.Service, false, spec.NewTarget(0, 0, time.Second, 99)),
	}
	return config.NewSnapshot(1, classes, []spec.Team{spec.NewTeam(config.HashKey(key), "t", 1)})
}

// start runs an instance with a fake platform and fake engines, and returns its
// base URL.
func start(t *testing.T) (*trial.Site, string) {
	site, base, _ := startBoth(t)
	return site, base
}

// startBoth is like start and also returns the operators' base URL.
func startBoth(t *testing.T) (*trial.Site, string, string) {
	t.Helper()
	site := &trial.Site{}
	if err := site.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(site.Close)
	base, operators := run(t, site.URL(), setup.TLS{})
	return site, "http://" + base, "http://" + operators
}

// run runs an instance against a platform until the test ends and returns the
// addresses for callers and operators.
func run(t *testing.T, platform string, secure setup.TLS) (callers, operators string) {
	t.Helper()
	var at [2]net.Listener
	for i := range at {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		at[i] = l
	}
	settings := setup.Default()
	settings.Instance = setup.Instance{Name: "t-1", DataCentre: trial.Centre}
	settings.Listen = setup.Listen{}
	settings.Platform = setup.Platform{Table: platform, Watch: 20 * time.Millisecond}
	settings.Times.Grace = 0
	settings.TLS = secure
	d := &daemon.Daemon{Log: zap.NewNop(), Listener: at[0], Operators: at[1], Settings: settings}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() {
		err := d.Run(ctx)
		// Requests to an instance that ended early fail at once instead of
		// waiting.
		_ = at[0].Close()
		done <- err
	}()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Errorf("got %v from Run, want nil", err)
		}
	})
	return at[0].Addr().String(), at[1].Addr().String()
}

func post(t *testing.T, url, idem, body string) (int, string) {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+key)
	if idem != "" {
		req.Header.Set("Idempotency-Key", idem)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, string(data)
}

// answer repeats a request until the instance has received reports of the
// engines, and returns the answer.
func answer(t *testing.T, base, body string) string {
	t.Helper()
	for {
		status, text := post(t, base+"/v1/chat/completions", "", body)
		if status == http.StatusServiceUnavailable {
			continue
		}
		if status != http.StatusOK {
			t.Fatalf("got status %d (%s), want 200", status, text)
		}
		return text
	}
}

// The answer must equal that of a single machine with all layers, although no
// engine of the site holds the whole model.
func TestAnswerEqualsOneMachine(t *testing.T) {
	_, base := start(t)
	text := answer(t, base, `{"model":"levy-13b","max_tokens":50,"messages":[{"role":"user","content":"Explain my levy notice"}]}`)
	var got struct {
		Choices []struct {
			Message struct{ Content string }
		}
	}
	if err := json.Unmarshal([]byte(text), &got); err != nil {
		t.Fatal(err)
	}
	want := layer.Text(layer.Generate("user: Explain my levy notice\n", trial.Depth, 50))
	if got.Choices[0].Message.Content != want {
		t.Errorf("got %q, want %q", got.Choices[0].Message.Content, want)
	}
}

// A caller sends a payment twice with the same key and must receive the same
// answer. The service must have run it only once.
func TestPaymentSentTwiceRunsOnce(t *testing.T) {
	site, base := start(t)
	answer(t, base, `{"model":"levy-13b","max_tokens":1,"messages":[{"role":"user","content":"x"}]}`)
	_, first := post(t, base+"/v1/calls/payment", "k1", `{"amount":1}`)
	_, second := post(t, base+"/v1/calls/payment", "k1", `{"amount":1}`)
	if second != first {
		t.Errorf("got %q for the second call, want %q", second, first)
	}
	if got := site.Desk().Runs("k1"); got != 1 {
		t.Errorf("got %d runs, want 1", got)
	}
}

// connectTimeout is how long instances may take to connect to all engines.
const connectTimeout = 5 * time.Second

// After a served request, the status and the metrics of an instance must
// contain the classes with their targets and every engine.
func TestOperatorsSeeTargetsAndEngines(t *testing.T) {
	_, base, operators := startBoth(t)
	answer(t, base, `{"model":"levy-13b","max_tokens":3,"messages":[{"role":"user","content":"x"}]}`)
	c := &admin.Client{Base: operators, HTTP: http.DefaultClient}
	got, err := c.Status(t.Context())
	// The request is answered by the engines of one path, while others may still be connecting.
	for deadline := time.Now().Add(connectTimeout); err == nil && len(got.Engines) < 6 && time.Now().Before(deadline); {
		pause(t.Context())
		got, err = c.Status(t.Context())
	}
	if err != nil {
		t.Fatal(err)
	}
	if got.Instance != "t-1" || !got.Ready || got.Version != 1 || len(got.Classes) != 2 || len(got.Engines) != 6 {
		t.Errorf("got %+v, want a ready instance with 2 classes and 6 engines", got)
	}
	if a := got.Classes[0]; a.Name != "answer" || a.Requests < 1 || a.First.P95 <= 0 || a.First.Limit != 1000 {
		t.Errorf("got class %+v, want the request that was served", a)
	}
	resp, err := http.Get(operators + "/metrics")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{
		`fulmarwick_target_attained_percent{class="answer"}`, `fulmarwick_engine_use{engine="fast-1",kind="h200"`,
		"fulmarwick_ready 1", `fulmarwick_requests_total{class="answer",code="ok"}`, "fulmarwick_ticks_total",
	} {
		if !strings.Contains(string(text), want) {
			t.Errorf("got no %s in the metrics, want it", want)
		}
	}
}

// Guards against calls and answers that fail since another writer left an entry with an odd address in the list.
func TestOddAddressInListFailsNoRequest(t *testing.T) {
	site, base := start(t)
	for n, url := range []string{"http://127.0.0.1:99999", "http://127.0.0.1:-1", "127.0.0.1:1", "http://[::1", "", "http://127.0.0.1:1/%zz"} {
		for _, role := range []string{store.RoleService, store.RoleEngine, store.RoleEntry} {
			site.List(store.ListedBody{ID: fmt.Sprintf("odd-%s-%d", role, n), Role: role, Service: trial.Service, URL: url, DataCentre: trial.Centre, State: frame.StateLive})
		}
	}
	time.Sleep(200 * time.Millisecond)
	for n := range 20 {
		status, text := post(t, base+"/v1/calls/payment", fmt.Sprintf("odd-%d", n), `{"amount":1}`)
		if status != http.StatusOK {
			t.Errorf("got %d %s, want the payment made", status, text)
		}
		answer(t, base, `{"model":"levy-13b","max_tokens":5,"messages":[{"role":"user","content":"hello"}]}`)
	}
}
