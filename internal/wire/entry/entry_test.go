package entry_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/fakes/infra"
	"fulmarwick/internal/route/domain"
	"fulmarwick/internal/state/config"
	"fulmarwick/internal/state/ledger"
	"fulmarwick/internal/wire/chain"
	"fulmarwick/internal/wire/entry"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"
)

const (
	firstKey  = "key-of-one"
	secondKey = "key-of-two"
	chatBody  = `{"model":"m","stream":true,"messages":[{"role":"user","content":"hi"}]}`
)

func testBook() *config.Active {
	classes := []spec.Class{
		spec.NewModelClass("answer", "m", spec.NewTarget(time.Second, 0, 0, 95)),
		spec.NewModelClass("draft", "m", spec.NewTarget(time.Minute, 0, 0, 95)),
		spec.NewPlainClass("payment", "payments", false, spec.NewTarget(0, 0, time.Second, 99)),
		spec.NewPlainClass("lookup", "records", true, spec.NewTarget(0, 0, time.Second, 99)),
	}
	teams := []spec.Team{
		spec.NewTeam(config.HashKey(firstKey), "one", 1), spec.NewTeam(config.HashKey(secondKey), "two", 1),
	}
	book := &config.Active{}
	book.SetIfNewer(config.NewSnapshot(1, classes, teams))
	return book
}

// fakeModels sends words as tokens, without delay.
type fakeModels struct {
	words []string
	err   error
	// onJob is called with each job, if it is set.
	onJob func(ctx context.Context, job chain.Job)
	// beforeWord is called before each word, if it is set.
	beforeWord func(i int)
}

func (m *fakeModels) Run(ctx context.Context, job chain.Job, sink chain.Sink) (chain.Result, error) {
	if m.onJob != nil {
		m.onJob(ctx, job)
	}
	for i, w := range m.words {
		if m.beforeWord != nil {
			m.beforeWord(i)
		}
		if err := ctx.Err(); err != nil {
			return chain.Result{Tokens: i}, err
		}
		if err := sink(chain.Token{Index: i, Text: w}); err != nil {
			return chain.Result{Tokens: i}, err
		}
	}
	return chain.Result{Tokens: len(m.words), Stop: true}, m.err
}

// fakeCalls returns out and err for every call.
type fakeCalls struct {
	out  ledger.Outcome
	err  error
	onDo func(ctx context.Context, c ledger.Call)
}

func (c *fakeCalls) Do(ctx context.Context, call ledger.Call) (ledger.Outcome, error) {
	if c.onDo != nil {
		c.onDo(ctx, call)
	}
	return c.out, c.err
}

func (c *fakeCalls) Lookup(context.Context, spec.TeamID, spec.ClassName, string) (ledger.Outcome, error) {
	return c.out, c.err
}

func newServer(m entry.Models) *entry.Server {
	return &entry.Server{
		Models: m, Calls: &fakeCalls{}, Config: testBook(), Log: zap.NewNop(), Meters: metrics.NewSet(),
		Limits: entry.Limits{Body: 4096, Header: 8192, Tokens: 100, Buffer: 4096},
	}
}

// request returns a POST request with body and the key of the first team.
func request(path, body string) *http.Request {
	req := httptest.NewRequest(http.MethodPost, path, strings.NewReader(body))
	req.Header.Set("Authorization", "Bearer "+firstKey)
	return req
}

func serve(s *entry.Server, req *http.Request) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	s.Handler().ServeHTTP(w, req)
	return w
}

func postChat(s *entry.Server, body string) *httptest.ResponseRecorder {
	return serve(s, request("/v1/chat/completions", body))
}

func readAll(t *testing.T, r io.Reader) string {
	t.Helper()
	data, err := io.ReadAll(r)
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

func wantFault(t *testing.T, w *httptest.ResponseRecorder, status int, code string) {
	t.Helper()
	if w.Code != status || !strings.Contains(w.Body.String(), `"code":"`+code+`"`) {
		t.Errorf("got %d %s, want %d with code %s", w.Code, w.Body, status, code)
	}
}

func TestRequestWithoutKnownKey(t *testing.T) {
	tests := []struct{ name, header, code string }{
		{"none", "", "no-key"},
		{"other scheme", "Basic abc", "no-key"},
		{"empty", "Bearer ", "no-key"},
		{"long", "Bearer " + strings.Repeat("x", 600), "no-key"},
		{"unknown", "Bearer nobody", "unknown-key"},
	}
	for _, tt := range tests {
		req := request("/v1/chat/completions", chatBody)
		req.Header.Set("Authorization", tt.header)
		wantFault(t, serve(newServer(&fakeModels{}), req), http.StatusUnauthorized, tt.code)
	}
}

// Before the instance has read a configuration it knows no team. The caller must
// get 503 with Retry-After, not an error about its key.
func TestNoConfigurationYet(t *testing.T) {
	s := newServer(&fakeModels{})
	s.Config = &config.Active{}
	w := postChat(s, chatBody)
	wantFault(t, w, http.StatusServiceUnavailable, "not-ready")
	if w.Header().Get("Retry-After") == "" {
		t.Errorf("got no Retry-After, want one")
	}
}

// A refusal is sent to the caller immediately, with its reason, whether the
// request ran and when to retry.
func TestRefusalIsFinal(t *testing.T) {
	tests := []struct {
		reason domain.Reason
		ran    bool
		status int
		want   string
	}{
		{domain.ReasonOverload, false, http.StatusServiceUnavailable, `"code":"overload","message":"The target of the class cannot be met now.","ran":"no","after":3`},
		{domain.ReasonTeamLimit, false, http.StatusTooManyRequests, `"ran":"no","after":3`},
		{domain.ReasonPoison, true, http.StatusUnprocessableEntity, `"ran":"yes"`},
		{domain.ReasonUnknownClass, false, http.StatusBadRequest, `"ran":"no"`},
	}
	for _, stream := range []string{"true", "false"} {
		for _, tt := range tests {
			m := &fakeModels{err: &chain.RefusedError{Reason: tt.reason, Ran: tt.ran, RetryAfter: 2100 * time.Millisecond}}
			w := postChat(newServer(m), strings.Replace(chatBody, "true", stream, 1))
			if w.Code != tt.status || !strings.Contains(w.Body.String(), tt.want) {
				t.Errorf("got %d %s, want %d with %s", w.Code, w.Body, tt.status, tt.want)
			}
			if got := w.Header().Get("Retry-After"); got != "3" {
				t.Errorf("got Retry-After %q, want 3", got)
			}
		}
	}
}

func TestModelsAreListedOnce(t *testing.T) {
	req := request("/v1/models", "")
	req.Method = http.MethodGet
	got := serve(newServer(&fakeModels{}), req).Body.String()
	want := `{"object":"list","data":[{"id":"m","object":"model","created":0,"owned_by":"fulmarwick"}]}` + "\n"
	if got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}

func TestUnknownPathAndMethod(t *testing.T) {
	wantFault(t, serve(newServer(&fakeModels{}), request("/v2/x", "")), http.StatusNotFound, "no-path")
	wantFault(t, serve(newServer(&fakeModels{}), request("/v1/models", "")), http.StatusMethodNotAllowed, "no-method")
}

// A class reserved for one team is refused to another team, for model requests
// and for calls, and nothing runs.
func TestClassClosedToTeam(t *testing.T) {
	table := &infra.Table{}
	text := "[class answer]\nkind = model\nmodel = m\nfirst = 1s\nteams = two\n" +
		"[class payment]\nkind = plain\nservice = payments\nwhole = 1s\nteams = two\n" +
		"[team one]\nkey-hash = " + string(config.HashKey(firstKey)) + "\n[team two]\nkey-hash = " + string(config.HashKey(secondKey)) + "\n"
	a := &config.Applier{Table: table}
	if _, err := a.Apply(t.Context(), config.Change{Author: "ani", Documents: []config.Document{{File: "a.ini", Data: []byte(text)}}}); err != nil {
		t.Fatal(err)
	}
	book := &config.Active{}
	if err := (&config.Follower{Table: table, Active: book}).Poll(t.Context()); err != nil {
		t.Fatal(err)
	}
	ran := 0
	s := newServer(&fakeModels{words: []string{"a"}, onJob: func(context.Context, chain.Job) { ran++ }})
	s.Calls = &fakeCalls{onDo: func(context.Context, ledger.Call) { ran++ }}
	s.Config = book
	wantFault(t, postChat(s, chatBody), http.StatusForbidden, "closed-class")
	req := request("/v1/calls/payment", "{}")
	req.Header.Set("Idempotency-Key", "k")
	wantFault(t, serve(s, req), http.StatusForbidden, "closed-class")
	if ran != 0 {
		t.Errorf("got %d run, want none", ran)
	}
	if w := resumeChat(s, secondKey, "", chatBody); w.Code != http.StatusOK {
		t.Errorf("got %d for the team of the class, want 200", w.Code)
	}
}
