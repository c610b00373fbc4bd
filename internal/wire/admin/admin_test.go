package admin_test

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"io"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"testing"

	"fulmarwick/internal/wire/admin"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-faster/errors"
	"go.uber.org/zap"
)

// fakeInstance is an instance with a configuration; the test sets its answers.
type fakeInstance struct {
	drains int
	draft  admin.Draft
	err    error
	ready  bool
}

func (s *fakeInstance) Status(context.Context) (admin.Status, error) {
	return admin.Status{Instance: "klang-1", Version: 7, Classes: []admin.Class{{Name: "answer", Percent: 95}}}, s.err
}
func (s *fakeInstance) Begin()       { s.drains++ }
func (s *fakeInstance) Running() int { return 3 }
func (s *fakeInstance) Show(context.Context) (admin.Shown, error) {
	return admin.Shown{Version: 7, Document: "[class answer]\n"}, s.err
}

func (s *fakeInstance) History(_ context.Context, limit int) ([]admin.Change, error) {
	return make([]admin.Change, limit), s.err
}

func (s *fakeInstance) Apply(_ context.Context, d admin.Draft) (admin.Applied, error) {
	s.draft = d
	return admin.Applied{Version: 8}, s.err
}

func serve(t *testing.T, s *fakeInstance) *admin.Client {
	t.Helper()
	server := &admin.Server{
		Viewer: s, Drainer: s, Config: s, Meters: metrics.NewSet(), Log: zap.NewNop(),
		Ready: func() bool { return s.ready },
	}
	server.Meters.GetOrCreateCounter("fulmarwick_test_total").Inc()
	h := httptest.NewServer(server.Handler())
	t.Cleanup(h.Close)
	return &admin.Client{Base: h.URL + "/", HTTP: h.Client()}
}

func TestClientAndServerAgree(t *testing.T) {
	s := &fakeInstance{}
	c := serve(t, s)
	ctx := t.Context()
	if got, err := c.Status(ctx); err != nil || got.Instance != "klang-1" || len(got.Classes) != 1 {
		t.Errorf("got %+v, %v, want the status", got, err)
	}
	if got, err := c.Show(ctx); err != nil || got.Version != 7 || got.Document != "[class answer]\n" {
		t.Errorf("got %+v, %v, want the configuration in force", got, err)
	}
	if got, err := c.History(ctx, 4); err != nil || len(got) != 4 {
		t.Errorf("got %d changes, %v, want 4", len(got), err)
	}
	draft := admin.Draft{Base: 7, By: "ani", Documents: []admin.Document{{Name: "a.ini", Text: "[class a]"}}}
	if got, err := c.Apply(ctx, draft); err != nil || got.Version != 8 || !reflect.DeepEqual(s.draft, draft) {
		t.Errorf("got %+v, %v from %+v, want version 8 from the draft", got, err, s.draft)
	}
	if got, err := c.Drain(ctx); err != nil || got != 3 || s.drains != 1 {
		t.Errorf("got %d running, %v and %d drains, want 3 and 1", got, err, s.drains)
	}
}

// Each error must reach the command with its original type, so that its exit
// code is right and a conflict shows the accepted changes.
func TestErrorsKeepTheirKind(t *testing.T) {
	winner := admin.Change{Version: 9, By: "siti", At: "2026-01-02T03:04:05Z", Text: "class answer"}
	for _, want := range []error{
		&admin.ConflictError{Winners: []admin.Change{winner}}, &admin.RefusedError{Problems: []string{"a", "b"}}, admin.ErrDown, &admin.UnsureError{ID: "c1"},
	} {
		c := serve(t, &fakeInstance{err: errors.Wrap(want, "wrapped")})
		_, err := c.Apply(t.Context(), admin.Draft{By: "ani"})
		if err == nil || err.Error() != want.Error() || reflect.TypeOf(err) != reflect.TypeOf(want) {
			t.Errorf("got %v, want %v", err, want)
		}
	}
	c := serve(t, &fakeInstance{err: errors.New("broken")})
	if _, err := c.Status(t.Context()); err == nil || !strings.Contains(err.Error(), "broken") {
		t.Errorf("got %v, want the original error", err)
	}
	gone := &admin.Client{Base: "http://127.0.0.1:1", HTTP: &http.Client{}}
	if _, err := gone.Status(t.Context()); !errors.Is(err, admin.ErrReach) {
		t.Errorf("got %v, want ErrReach", err)
	}
}

func TestBadRequests(t *testing.T) {
	c := serve(t, &fakeInstance{})
	for _, path := range []string{"/v1/config/history?limit=x", "/v1/config/history?limit=0", "/v1/config/history?limit=1001"} {
		if got, _ := get(t, c, path); got != http.StatusBadRequest {
			t.Errorf("got %d for %s, want 400", got, path)
		}
	}
	for _, body := range []string{"no JSON", "{}", `{"by":"` + strings.Repeat("x", 101) + `"}`} {
		resp, err := c.HTTP.Post(c.Base+"v1/config", "application/json", strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		if resp.StatusCode != http.StatusBadRequest {
			t.Errorf("got %d for %.20q, want 400", resp.StatusCode, body)
		}
	}
}

func get(t *testing.T, c *admin.Client, path string) (int, string) {
	t.Helper()
	resp, err := c.HTTP.Get(strings.TrimSuffix(c.Base, "/") + path)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, string(data)
}

func TestHealthAndMetrics(t *testing.T) {
	s := &fakeInstance{}
	c := serve(t, s)
	if got, _ := get(t, c, "/healthz"); got != http.StatusOK {
		t.Errorf("got %d from /healthz, want 200", got)
	}
	if got, _ := get(t, c, "/readyz"); got != http.StatusServiceUnavailable {
		t.Errorf("got %d from /readyz, want 503", got)
	}
	s.ready = true
	if got, _ := get(t, c, "/readyz"); got != http.StatusOK {
		t.Errorf("got %d from /readyz, want 200", got)
	}
	if _, body := get(t, c, "/metrics"); !strings.Contains(body, "fulmarwick_test_total 1") || !strings.Contains(body, "process_resident_memory_bytes") {
		t.Errorf("got %.200q, want the metrics of the instance and of the process", body)
	}
}

// An operator with a client certificate cannot use another name.
func TestCertificateNamesTheOperator(t *testing.T) {
	s := &fakeInstance{}
	server := &admin.Server{Viewer: s, Drainer: s, Config: s, Meters: metrics.NewSet(), Log: zap.NewNop(), Ready: func() bool { return true }}
	req := httptest.NewRequest(http.MethodPost, "/v1/config", strings.NewReader(`{"by":"other"}`))
	cert := &x509.Certificate{Subject: pkix.Name{CommonName: "ani"}}
	req.TLS = &tls.ConnectionState{VerifiedChains: [][]*x509.Certificate{{cert}}}
	server.Handler().ServeHTTP(httptest.NewRecorder(), req)
	if s.draft.By != "ani" {
		t.Errorf("got change by %q, want ani", s.draft.By)
	}
}

func TestWithoutSharedConfiguration(t *testing.T) {
	s := &fakeInstance{}
	server := &admin.Server{Viewer: s, Drainer: s, Meters: metrics.NewSet(), Log: zap.NewNop(), Ready: func() bool { return true }}
	h := httptest.NewServer(server.Handler())
	defer h.Close()
	c := &admin.Client{Base: h.URL, HTTP: h.Client()}
	if _, err := c.Show(t.Context()); err == nil || !strings.Contains(err.Error(), "not-served") {
		t.Errorf("got %v, want not-served", err)
	}
}
