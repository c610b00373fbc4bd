package daemon_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"fulmarwick/internal/fakes/infra"
	"fulmarwick/internal/fakes/trial"
)

// A new instance starts during an outage of the platform. It must take the
// configuration from its peers and serve model requests. It must refuse
// payments as not run, which is correct, until the platform is back.
func TestInstanceStartsWhileThePlatformIsOut(t *testing.T) {
	e := newCluster(t, 2)
	e.site.Table().SetFaults(infra.Faults{Unavailable: true})
	joined := e.start(trial.Centre)
	e.ready(joined)
	e.balancer.Set([]string{e.bases[joined]})
	a, err := (&work{e: e}).caller().Stream(e.ctx, trial.Model, "explain", 10)
	if err != nil || a.Tokens != 10 {
		t.Errorf("got %d tokens and %v in the outage, want 10", a.Tokens, err)
	}
	status, text := post(t, e.bases[joined]+"/v1/calls/payment", "k1", `{"amount":1}`)
	if status != http.StatusServiceUnavailable || errorCode(text) != "store-down" {
		t.Errorf("got %d %s for a payment in the outage, want 503 store-down", status, text)
	}
	if got := e.site.Desk().Runs("k1"); got != 0 {
		t.Errorf("got %d runs of a payment reported as not run, want 0", got)
	}
	e.site.Table().SetFaults(infra.Faults{})
	o, err := (&work{e: e}).caller().Call(e.ctx, "payment", "k1", `{"amount":1}`)
	if err != nil || o.State != "done" || e.site.Desk().Runs("k1") != 1 {
		t.Errorf("got %+v, %v and %d runs after the outage, want done and 1", o, err, e.site.Desk().Runs("k1"))
	}
}

// The service runs payments, but its answers are lost. The caller must receive
// unsure and never not run. The outcome lookup then settles each payment from
// the service itself, at any instance, and a repeated key does not pay again.
func TestLostAnswersOfPaymentsAreSettledByLookUp(t *testing.T) {
	e := newCluster(t, 2)
	e.site.Desk().CutReplies(3)
	for i := range 3 {
		key := fmt.Sprintf("k%d", i)
		status, text := post(t, e.bases["klang-1"]+"/v1/calls/payment", key, `{"amount":1}`)
		if status != http.StatusOK && errorCode(text) != "unsure" {
			t.Errorf("got %d %s, want unsure or the answer", status, text)
		}
		for !settled(t, e, key) {
			time.Sleep(pollInterval)
		}
		post(t, e.bases["klang-2"]+"/v1/calls/payment", key, `{"amount":1}`)
		if got := e.site.Desk().Runs(key); got != 1 {
			t.Errorf("got %d runs of %s, want 1", got, key)
		}
	}
}

// settled reports whether the other instance knows the payment as done.
func settled(t *testing.T, e *cluster, key string) bool {
	t.Helper()
	req, err := http.NewRequestWithContext(e.ctx, http.MethodGet, e.bases["klang-2"]+"/v1/calls/payment/"+key, http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+trial.Key)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var body struct{ State string }
	decode(t, resp.Body, &body)
	return body.State == "done"
}

// A payment runs, and the instance that sent it dies. The caller repeats the
// payment at another instance during an outage of the platform. That instance
// sends nothing, but it must not report that the payment did not run: the
// caller would pay again under a new key.
func TestRepeatInAnOutageIsNotToldAsNotRun(t *testing.T) {
	e := newCluster(t, 2)
	post(t, e.bases["klang-1"]+"/v1/calls/payment", "k1", `{"amount":1}`)
	e.remove("klang-1").kill()
	e.site.Table().SetFaults(infra.Faults{Unavailable: true})
	status, text := post(t, e.bases["klang-2"]+"/v1/calls/payment", "k1", `{"amount":1}`)
	if status != http.StatusServiceUnavailable || !strings.Contains(text, `"ran":"unsure"`) {
		t.Errorf("got %d %s, want 503 and unsure", status, text)
	}
	if got := e.site.Desk().Runs("k1"); got != 1 {
		t.Errorf("got %d runs, want 1", got)
	}
}
