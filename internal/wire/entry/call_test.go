package entry_test

import (
	"context"
	"net/http"
	"strings"
	"testing"

	"fulmarwick/internal/state/ledger"

	"github.com/go-faster/errors"
)

// postCall posts a call to path and returns the status and the body.
func postCall(t *testing.T, c *fakeCalls, path, idempotencyKey string) (int, string) {
	t.Helper()
	s := newServer(&fakeModels{})
	s.Calls = c
	req := request(path, `{"amount":1}`)
	if idempotencyKey != "" {
		req.Header.Set("Idempotency-Key", idempotencyKey)
	}
	w := serve(s, req)
	return w.Code, w.Body.String()
}

func TestCallsNeedValidKeys(t *testing.T) {
	tests := []struct {
		path, idempotencyKey string
		status               int
		want                 string
	}{
		{"/v1/calls/payment", "", 400, "no-idempotency-key"},
		{"/v1/calls/payment", strings.Repeat("k", 256), 400, "bad-idempotency-key"},
		{"/v1/calls/payment", "a b", 400, "bad-idempotency-key"},
		{"/v1/calls/payment", "a\x00b", 400, "bad-idempotency-key"},
		{"/v1/calls/answer", "k", 404, "unknown-class"},
		{"/v1/calls/nothing", "k", 404, "unknown-class"},
	}
	for _, tt := range tests {
		ran := false
		c := &fakeCalls{onDo: func(context.Context, ledger.Call) { ran = true }}
		if got, body := postCall(t, c, tt.path, tt.idempotencyKey); got != tt.status || !strings.Contains(body, tt.want) || ran {
			t.Errorf("got %d %s (ran %v) for %q, want %d %s and not run", got, body, ran, tt.idempotencyKey, tt.status, tt.want)
		}
	}
}

func TestRetryableCallNeedsNoKey(t *testing.T) {
	var keys []string
	c := &fakeCalls{onDo: func(_ context.Context, c ledger.Call) { keys = append(keys, c.Key()) }}
	postCall(t, c, "/v1/calls/lookup", "")
	postCall(t, c, "/v1/calls/lookup", "")
	if len(keys) != 2 || keys[0] == "" || keys[0] == keys[1] {
		t.Errorf("got keys %q, want two different ones", keys)
	}
}

// The response to a failed call must have the right status and code, and say
// whether the call ran.
func TestErrorsOfCalls(t *testing.T) {
	tests := []struct {
		err    error
		status int
		want   string
	}{
		{ledger.ErrBodyMismatch, 422, `"code":"key-reused"`},
		{errors.Wrap(ledger.ErrStoreUnavailable, "x"), 503, `"ran":"unsure","after":2`},
		{errors.Wrap(ledger.ErrRecordUnreadable, "x"), 503, `"code":"record-unread"`},
		{errors.New("other"), 500, `"ran":"unsure"`},
	}
	for _, tt := range tests {
		if got, body := postCall(t, &fakeCalls{err: tt.err}, "/v1/calls/payment", "k"); got != tt.status || !strings.Contains(body, tt.want) {
			t.Errorf("got %d %s, want %d with %s", got, body, tt.status, tt.want)
		}
	}
}

// The caller disconnects while a payment is running. The call must not be
// canceled, so that its outcome is recorded. If it were interrupted midway, it
// would be unknown whether it ran.
func TestCallOutlivesItsCaller(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	var got error
	c := &fakeCalls{onDo: func(ctx context.Context, _ ledger.Call) {
		cancel()
		got = ctx.Err()
	}}
	s := newServer(&fakeModels{})
	s.Calls = c
	req := request("/v1/calls/payment", "{}").WithContext(ctx)
	req.Header.Set("Idempotency-Key", "k")
	serve(s, req)
	if got != nil {
		t.Errorf("got %v during the call, want it not canceled", got)
	}
}

func TestOutcomeOfAnUnknownCall(t *testing.T) {
	s := newServer(&fakeModels{})
	for path, status := range map[string]int{
		"/v1/calls/payment/a%2Fb":   http.StatusNotFound,
		"/v1/calls/payment/a%20b":   http.StatusBadRequest,
		"/v1/calls/nothing/a":       http.StatusNotFound,
		"/v1/calls/payment/ab%0a":   http.StatusBadRequest,
		"/v1/calls/payment/" + "k1": http.StatusNotFound,
	} {
		req := request(path, "")
		req.Method = http.MethodGet
		if w := serve(s, req); w.Code != status {
			t.Errorf("got %d %s for %s, want %d", w.Code, w.Body, path, status)
		}
	}
}
