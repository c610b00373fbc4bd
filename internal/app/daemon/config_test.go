package daemon_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"fulmarwick/internal/app/setup"
	"fulmarwick/internal/fakes/infra"
	"fulmarwick/internal/state/config"
	"fulmarwick/internal/wire/admin"

	"github.com/go-faster/errors"
)

func draft(base uint64, by, text string) admin.Draft {
	return admin.Draft{Base: base, By: by, Documents: []admin.Document{{Name: "a.ini", Text: text}}}
}

const (
	quick = "[class answer]\nkind = model\nmodel = levy-13b\nfirst = 1s\n"
	slow  = "[class answer]\nkind = model\nmodel = levy-13b\nfirst = 9s\n"
)

// waitVersion polls until the instance has activated version.
func waitVersion(t *testing.T, c *admin.Client, version uint64) admin.Shown {
	t.Helper()
	for {
		shown, err := c.Show(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		if shown.Version >= version {
			return shown
		}
	}
}

// Two operators change the same class, starting from the same version. The
// first change is accepted and becomes active. The second is rejected as a
// conflict: its author learns whose change came first, and no part of the
// rejected change takes effect. The history lists the accepted changes.
func TestOperatorsRace(t *testing.T) {
	_, _, operators := startBoth(t)
	c := &admin.Client{Base: operators, HTTP: http.DefaultClient}
	first, err := c.Apply(t.Context(), draft(1, "ani", quick+"[class draft]\nkind = model\nmodel = levy-13b\nwhole = 1m\n"))
	if err != nil {
		t.Fatal(err)
	}
	second, err := c.Apply(t.Context(), draft(first.Version, "siti", slow))
	if err != nil {
		t.Fatal(err)
	}
	var lost *admin.ConflictError
	if _, err := c.Apply(t.Context(), draft(first.Version, "ani", quick)); !errors.As(err, &lost) {
		t.Fatalf("got %v, want a conflict", err)
	}
	if w := lost.Winners; len(w) != 1 || w[0].By != "siti" || w[0].Version != second.Version || w[0].Text != "class answer" {
		t.Errorf("got winners %+v, want siti's change of class answer", w)
	}
	if shown := waitVersion(t, c, second.Version); !strings.Contains(shown.Document, "first = 9s") || !strings.Contains(shown.Document, "[class draft]") {
		t.Errorf("got document %q, want siti's target and the other class", shown.Document)
	}
	history, err := c.History(t.Context(), 10)
	if err != nil || len(history) != 3 || history[0].By != "siti" || history[1].Text != "class answer, class draft" {
		t.Errorf("got history %+v, %v, want siti's change, ani's and the first", history, err)
	}
}

// A bad document is rejected as a whole: the operator receives all its problems
// at once, and nothing changes.
func TestBadDocumentIsRefusedWhole(t *testing.T) {
	_, _, operators := startBoth(t)
	c := &admin.Client{Base: operators, HTTP: http.DefaultClient}
	var refused *admin.RefusedError
	_, err := c.Apply(t.Context(), draft(0, "ani", quick+"percent = 200\n[class b]\nkind = plain\nwhole = 1s\n"))
	if !errors.As(err, &refused) || len(refused.Problems) != 2 {
		t.Errorf("got %v, want two problems", err)
	}
	if history, err := c.History(t.Context(), 10); err != nil || len(history) != 1 {
		t.Errorf("got history %+v, %v, want the first change only", history, err)
	}
}

// The platform's table is down. Apply reports that nothing changed, and the
// instance still shows the active configuration.
func TestApplyWhileTheTableIsDown(t *testing.T) {
	site, _, operators := startBoth(t)
	c := &admin.Client{Base: operators, HTTP: http.DefaultClient}
	waitVersion(t, c, 1)
	site.Table().SetFaults(infra.Faults{Unavailable: true})
	if _, err := c.Apply(t.Context(), draft(0, "ani", quick)); !errors.Is(err, admin.ErrDown) {
		t.Errorf("got %v, want ErrDown", err)
	}
	if shown, err := c.Show(t.Context()); err != nil || shown.Version != 1 {
		t.Errorf("got version %d, %v, want the active version 1", shown.Version, err)
	}
	if _, err := c.History(t.Context(), 1); !errors.Is(err, admin.ErrDown) {
		t.Errorf("got %v from the history, want ErrDown", err)
	}
}

// An instance without a configuration is not ready and answers callers with 503
// not-ready. After an operator applies a configuration it serves.
func TestFirstConfigurationMakesReady(t *testing.T) {
	platform := httptest.NewServer((&infra.Server{Table: &infra.Table{}}).Handler())
	defer platform.Close()
	base, operators := run(t, platform.URL, setup.TLS{})
	base = "http://" + base
	c := &admin.Client{Base: "http://" + operators, HTTP: http.DefaultClient}
	if code, text := post(t, base+"/v1/chat/completions", "", "{}"); code != http.StatusServiceUnavailable || !strings.Contains(text, "not-ready") {
		t.Errorf("got %d %s without a configuration, want 503 and not-ready", code, text)
	}
	if got := status(t, base+"/readyz"); got != http.StatusServiceUnavailable {
		t.Errorf("got %d from /readyz without a configuration, want 503", got)
	}
	applied, err := c.Apply(t.Context(), draft(0, "ani", quick+"[team t]\nkey-hash = "+string(config.HashKey(key))+"\n"))
	if err != nil {
		t.Fatal(err)
	}
	waitVersion(t, c, applied.Version)
	if got := status(t, base+"/readyz"); got != http.StatusOK {
		t.Errorf("got %d from /readyz with a configuration, want 200", got)
	}
}

func status(t *testing.T, url string) int {
	t.Helper()
	resp, err := http.Get(url)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}
