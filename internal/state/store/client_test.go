package store_test

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"fulmarwick/internal/fakes/infra"
	"fulmarwick/internal/state/store"

	"github.com/go-faster/errors"
)

func startServer(t *testing.T, h http.Handler) string {
	t.Helper()
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return s.URL
}

// The platform reads and applies a commit, then drops the connection, which is new or
// reused. The commit must be sent only once, and the caller must get
// ErrOutcomeUnknown, not a failure.
func TestDroppedCommitIsNotReplayed(t *testing.T) {
	for name, client := range map[string]*http.Client{
		"own transport": store.NewHTTPClient(), "default transport": {Transport: &http.Transport{}},
	} {
		for _, reused := range []bool{false, true} {
			var commits atomic.Int32
			base := startServer(t, http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
				_, _ = io.Copy(io.Discard, req.Body)
				if req.Method == http.MethodGet {
					http.Error(w, "missing", http.StatusNotFound)
					return
				}
				if req.Header.Get("Idempotency-Key") != "" {
					t.Error("got an Idempotency-Key, want none: net/http would send the request again")
				}
				commits.Add(1)
				panic(http.ErrAbortHandler)
			}))
			c := &store.Client{BaseURL: base, HTTP: client}
			if _, err := c.Get(t.Context(), "k"); reused && !errors.Is(err, store.ErrNotFound) {
				t.Fatalf("got %v, want ErrNotFound", err)
			}
			if !reused {
				client.CloseIdleConnections()
			}
			_, err := c.Commit(t.Context(), []store.Write{store.Put("k", 0, []byte("v"))})
			if !errors.Is(err, store.ErrOutcomeUnknown) {
				t.Errorf("%s, reused %v: got %v, want ErrOutcomeUnknown", name, reused, err)
			}
			if got := commits.Load(); got != 1 {
				t.Errorf("%s, reused %v: got %d commits, want 1", name, reused, got)
			}
		}
	}
}

// Nothing listens at the platform's address. Nothing is sent, so the commit is known
// to have no effect and need not be read back.
func TestFailedDialHasNoEffect(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	base := "http://" + l.Addr().String()
	_ = l.Close()
	c := &store.Client{BaseURL: base, HTTP: store.NewHTTPClient()}
	if _, err := c.Commit(t.Context(), []store.Write{store.Put("k", 0, nil)}); !errors.Is(err, store.ErrUnavailable) {
		t.Errorf("got %v, want ErrUnavailable", err)
	}
}

// Rows and objects behave over HTTP as in memory, also with faults.
func TestClientAgainstFakeTable(t *testing.T) {
	server := &infra.Server{Table: &infra.Table{}}
	c := &store.Client{BaseURL: startServer(t, server.Handler()), HTTP: store.NewHTTPClient()}
	ctx := t.Context()
	v, err := c.Commit(ctx, []store.Write{store.Put("a/1", 0, []byte("x")), store.Put("a/2", 0, []byte("y"))})
	if err != nil || v == 0 {
		t.Fatalf("got %d %v, want a version", v, err)
	}
	if _, err := c.Commit(ctx, []store.Write{store.Put("a/3", 0, nil), store.Put("a/1", 9, nil)}); !errors.Is(err, store.ErrConflict) {
		t.Errorf("got %v, want ErrConflict", err)
	}
	rows, err := c.Scan(ctx, "a/", 0, 10)
	if err != nil || len(rows) != 2 || string(rows[1].Value()) != "y" {
		t.Errorf("got %v %v, want two rows", rows, err)
	}
	o, err := c.PutObject(ctx, "big", 0, []byte("object"))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := c.PutObject(ctx, "big", 0, nil); !errors.Is(err, store.ErrConflict) {
		t.Errorf("got %v for an object that exists, want ErrConflict", err)
	}
	got, err := c.GetObject(ctx, "big")
	if err != nil || string(got.Value()) != "object" || got.Version() != o {
		t.Errorf("got %v %v, want the object", got, err)
	}
	server.Table.SetFaults(infra.Faults{LoseReplies: 1})
	if _, err := c.Commit(ctx, []store.Write{store.Put("b", 0, nil)}); !errors.Is(err, store.ErrOutcomeUnknown) {
		t.Errorf("got %v for a lost response, want ErrOutcomeUnknown", err)
	}
	server.Table.SetFaults(infra.Faults{Unavailable: true})
	if _, err := c.Get(ctx, "b"); !errors.Is(err, store.ErrUnavailable) {
		t.Errorf("got %v, want ErrUnavailable", err)
	}
}

// A commit has more rows than a page. The scan must not continue after its version
// and silently skip the remaining rows of the commit.
func TestScanAllReadsWholeCommits(t *testing.T) {
	table := &infra.Table{}
	var writes []store.Write
	for _, k := range []string{"a", "b", "c", "d", "e"} {
		writes = append(writes, store.Put("p/"+k, 0, nil))
	}
	for _, w := range [][]store.Write{{store.Put("p/x", 0, nil)}, writes, {store.Put("p/y", 0, nil)}} {
		if _, err := table.Commit(t.Context(), w); err != nil {
			t.Fatal(err)
		}
	}
	seen := map[string]bool{}
	err := store.ScanAll(t.Context(), table, "p/", 0, 2, func(r store.Row) { seen[r.Key()] = true })
	if err != nil || len(seen) != 7 {
		t.Errorf("got %d rows %v, want 7", len(seen), err)
	}
}

// Guards against instances that read the list no longer, since another writer left a malformed entry in it.
func TestMalformedEntryHidesNoOther(t *testing.T) {
	deep := strings.Repeat("[", 100_000) + strings.Repeat("]", 100_000)
	tests := map[string]struct {
		entry     string
		malformed int
	}{
		"deep":              {deep, 1},
		"deep field":        {`{"id":"x","other":` + deep + `}`, 1},
		"number as URL":     {`{"id":"x","role":"engine","url":99999}`, 1},
		"large number":      {`{"id":1e400}`, 1},
		"large, other":      {`{"id":"x","other":1e400}`, 0},
		"state an object":   {`{"id":"x","state":{"a":[1,{}]}}`, 1},
		"brackets in text":  {`{"id":"],[}{\\\"]"}`, 0},
		"no object":         {`"],["`, 1},
		"no JSON":           {`{"id":}`, 1},
		"null":              {`null`, 0},
		"nothing":           {``, 0},
		"other, same names": {`{"ID":"x","id":"y"}`, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			list := ` [ {"id":"a","role":"engine","url":"http://a"} , ` + test.entry + `, {"id":"b","role":"entry"} ] `
			if test.entry == "" {
				list = strings.Replace(list, ", ,", ",", 1)
			}
			malformed := 0
			base := startServer(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, list) }))
			c := &store.Client{BaseURL: base, HTTP: store.NewHTTPClient(), OnMalformed: func([]byte, error) { malformed++ }}
			got, err := c.ListInstances(t.Context())
			if err != nil || len(got) < 2 || got[0].ID != "a" || got[0].URL != "http://a" || got[len(got)-1].ID != "b" {
				t.Errorf("got %v and %v, want the first and the last entry", got, err)
			}
			if malformed != test.malformed {
				t.Errorf("got %d malformed entries, want %d", malformed, test.malformed)
			}
		})
	}
}

// Guards against a list that is cut off, or no list, and is taken for one without entries.
func TestListThatIsNoneIsAnError(t *testing.T) {
	for _, body := range []string{"", "{}", `[{"id":"a"}`, `[{"id":"a"},`, "x", `"[]"`} {
		base := startServer(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, body) }))
		c := &store.Client{BaseURL: base, HTTP: store.NewHTTPClient()}
		if got, err := c.ListInstances(t.Context()); err == nil {
			t.Errorf("got %v for %q, want an error", got, body)
		}
	}
}
