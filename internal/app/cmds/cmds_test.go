package cmds_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"

	"fulmarwick/internal/app/cmds"
	"fulmarwick/internal/wire/admin"

	"github.com/VictoriaMetrics/metrics"
	"github.com/spf13/cobra"
	"go.uber.org/zap"
)

// fakeInstance implements the operator endpoint of an instance.
type fakeInstance struct {
	err     error
	applied admin.Draft
	drains  int
}

func (s *fakeInstance) Status(context.Context) (admin.Status, error) {
	return admin.Status{
		Instance: "klang-1", DataCentre: "klang", Goal: "throughput", Ready: true, Version: 7, Running: 2,
		Classes:   []admin.Class{{Name: "answer", Percent: 95, Attained: 91.5, Requests: 200, First: admin.Times{Limit: 770, P95: 801}}},
		Engines:   []admin.Engine{{Name: "fast-1", State: "leaving", Layers: "m:0-12", Active: 4, Slots: 16, Use: 0.25}},
		Leaving:   []string{"fast-1"},
		Instances: []admin.Instance{{Name: "johor-1", DataCentre: "johor", State: "live", Version: 7}},
	}, s.err
}
func (s *fakeInstance) Begin()       { s.drains++ }
func (s *fakeInstance) Running() int { return 2 }

func (s *fakeInstance) Show(context.Context) (admin.Shown, error) {
	return admin.Shown{Instance: "klang-1", Version: 7, Document: "[class answer]\n", Instances: []admin.Instance{{Name: "johor-1", State: "live", Version: 6}}}, nil
}

func (s *fakeInstance) History(context.Context, int) ([]admin.Change, error) {
	return []admin.Change{{Version: 7, By: "siti", At: "2026-01-02T03:04:05Z", Text: "class answer"}}, nil
}

func (s *fakeInstance) Apply(_ context.Context, d admin.Draft) (admin.Applied, error) {
	s.applied = d
	return admin.Applied{Version: 8}, s.err
}

func serveAdmin(t *testing.T, s *fakeInstance) string {
	t.Helper()
	server := &admin.Server{Viewer: s, Drainer: s, Config: s, Meters: metrics.NewSet(), Log: zap.NewNop(), Ready: func() bool { return true }}
	h := httptest.NewServer(server.Handler())
	t.Cleanup(h.Close)
	return h.URL
}

func execute(t *testing.T, args ...string) (code int, out, errOut string) {
	t.Helper()
	var o, e bytes.Buffer
	code = cmds.Execute(args, &o, &e)
	return code, o.String(), e.String()
}

func writeTemp(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

const goodSettings = "[instance]\nname = a\ndatacentre = b\nregion = c\n[listen]\ncallers = 127.0.0.1:0\n[platform]\ntable = http://127.0.0.1:1\n"

// Exit codes are documented for scripts, so each kind of failure has its code.
func TestExitCodes(t *testing.T) {
	conflict := serveAdmin(t, &fakeInstance{err: &admin.ConflictError{Winners: []admin.Change{{Version: 9, By: "siti", Text: "class answer"}}}})
	refused := serveAdmin(t, &fakeInstance{err: &admin.RefusedError{Problems: []string{"classes.ini:3: percent: 200 is out of range"}}})
	down := serveAdmin(t, &fakeInstance{err: admin.ErrDown})
	unsure := serveAdmin(t, &fakeInstance{err: &admin.UnsureError{ID: "c1"}})
	ok := serveAdmin(t, &fakeInstance{})
	doc := writeTemp(t, "classes.ini", "[class answer]\n")
	tests := []struct {
		args []string
		want int
		text string
	}{
		{[]string{"version"}, cmds.ExitOK, "fulmarwick"},
		{[]string{"status", "--url", ok}, cmds.ExitOK, "klang-1"},
		{[]string{"status", "--url", down}, cmds.ExitReach, "out of reach"},
		{[]string{"status", "--url", "http://127.0.0.1:1"}, cmds.ExitReach, "out of reach"},
		{[]string{"status", "--url", "nowhere"}, cmds.ExitUsage, "--url"},
		{[]string{"status", "--url", "https://127.0.0.1:1"}, cmds.ExitUsage, "--cert"},
		{[]string{"status", "--unknown"}, cmds.ExitUsage, "unknown flag"},
		{[]string{"nonsense"}, cmds.ExitUsage, "unknown command"},
		{[]string{"check"}, cmds.ExitUsage, "requires at least 1 arg"},
		{[]string{"load"}, cmds.ExitUsage, "accepts 1 arg"},
		{[]string{"load", "missing.load"}, cmds.ExitFail, "missing.load"},
		{[]string{"load", "testdata/bad.load"}, cmds.ExitUsage, "fault of kind"},
		{[]string{"load", "--address", "127.0.0.1:1", "../../../examples/usual.load"}, cmds.ExitUsage, "stand-ins only"},
		{[]string{"check", writeTemp(t, "a.ini", goodSettings)}, cmds.ExitOK, "good"},
		{[]string{"check", writeTemp(t, "a.ini", "[a]\n")}, cmds.ExitUsage, "no such section"},
		{[]string{"check", "none.ini"}, cmds.ExitUsage, "cannot be read"},
		{[]string{"serve", "--settings", "none.ini"}, cmds.ExitUsage, "cannot be read"},
		{[]string{"apply", "--url", ok, doc}, cmds.ExitOK, "accepted as version 8"},
		{[]string{"apply", "--url", conflict, doc}, cmds.ExitConflict, "version 9 by siti"},
		{[]string{"apply", "--url", refused, doc}, cmds.ExitUsage, "200 is out of range"},
		{[]string{"apply", "--url", down, doc}, cmds.ExitReach, "nothing changed"},
		{[]string{"apply", "--url", unsure, doc}, cmds.ExitFail, "change c1 in the history"},
		{[]string{"apply", "--url", ok, "none.ini"}, cmds.ExitUsage, "none.ini"},
		{[]string{"apply", "--url", ok, "--url", down, doc}, cmds.ExitUsage, "one --url"},
		{[]string{"drain", "--url", ok}, cmds.ExitOK, "2 requests in progress"},
		{[]string{"show", "--url", ok, "--history", "3"}, cmds.ExitOK, "siti"},
	}
	for _, tt := range tests {
		code, out, errOut := execute(t, tt.args...)
		if code != tt.want || !strings.Contains(out+errOut, tt.text) {
			t.Errorf("got code %d and %q from %v, want %d and %q", code, out+errOut, tt.args, tt.want, tt.text)
		}
	}
}

// Check prints the problems of all files in one run.
func TestCheckPrintsProblemsOfAllFiles(t *testing.T) {
	code, out, _ := execute(t, "check", writeTemp(t, "a.ini", goodSettings+"[log]\nlevel = x\ncolour = y\n"), writeTemp(t, "b.ini", goodSettings), writeTemp(t, "c.ini", "[z]\n"))
	if code != cmds.ExitUsage {
		t.Errorf("got code %d, want %d", code, cmds.ExitUsage)
	}
	for _, want := range []string{"a.ini:10: [log] level", "a.ini:11: [log] colour: no such key", "b.ini: good", "c.ini:1: [z] no such section"} {
		if !strings.Contains(out, want) {
			t.Errorf("got %q, want %q in it", out, want)
		}
	}
}

// Documents are checked together, and in the same run as settings files.
func TestCheckReadsDocuments(t *testing.T) {
	classes := writeTemp(t, "classes.ini", "[class answer]\nkind = model\nmodel = m\nfirst = 1s\nweight = 3\n")
	teams := writeTemp(t, "teams.ini", "[team depot]\nkey-hash = zz\n")
	code, out, _ := execute(t, "check", classes, teams, writeTemp(t, "a.ini", goodSettings))
	if code != cmds.ExitUsage {
		t.Errorf("got code %d, want %d", code, cmds.ExitUsage)
	}
	for _, want := range []string{"classes.ini: [class answer]: weight is not a key", "teams.ini: [team depot]: key-hash is", "a.ini: good"} {
		if !strings.Contains(out, want) {
			t.Errorf("got %q, want %q in it", out, want)
		}
	}
}

// The examples of both deployments are valid as they are: settings for other machines,
// and documents that apply accepts.
func TestExamplesAreGood(t *testing.T) {
	for _, deployment := range []string{"association", "coral"} {
		files, err := filepath.Glob("../../../examples/" + deployment + "/*.ini")
		if err != nil || len(files) != 6 {
			t.Fatalf("got files %v, %v, want four settings and two documents", files, err)
		}
		if code, out, _ := execute(t, append([]string{"check", "--elsewhere"}, files...)...); code != cmds.ExitOK {
			t.Errorf("got code %d and %q, want all files valid", code, out)
		}
	}
}

func TestStatusAsTableAndJSON(t *testing.T) {
	url := serveAdmin(t, &fakeInstance{})
	_, out, _ := execute(t, "status", "--url", url)
	for _, want := range []string{"klang-1 in klang: ready, 2 running, configuration 7", "answer  95.0%", "91.5%", "NO", "801.0/770", "fast-1", "25%", "leaving: fast-1", "johor-1"} {
		if !strings.Contains(out, want) {
			t.Errorf("got %q, want %q in it", out, want)
		}
	}
	// An instance that does not answer doesn't hide the others.
	code, out, _ := execute(t, "status", "--json", "--url", "http://127.0.0.1:1,"+url)
	var list []admin.Status
	if err := json.Unmarshal([]byte(out), &list); err != nil {
		t.Fatal(err)
	}
	if code != cmds.ExitReach || len(list) != 1 || list[0].Classes[0].First.Limit != 770 {
		t.Errorf("got code %d and %+v, want %d and the status of the instance that answered", code, list, cmds.ExitReach)
	}
}

// The output of show is a document that apply accepts, with the versions of the
// instances as comments.
func TestShowPrintsADocument(t *testing.T) {
	s := &fakeInstance{}
	_, out, _ := execute(t, "show", "--url", serveAdmin(t, s))
	want := "# klang-1: version 7 (asked)\n# johor-1: version 6 (live)\n\n[class answer]\n"
	if out != want {
		t.Errorf("got %q, want %q", out, want)
	}
}

func TestApplyBuildsOnTheVersionInForce(t *testing.T) {
	s := &fakeInstance{}
	url := serveAdmin(t, s)
	doc := writeTemp(t, "classes.ini", "[class answer]\n")
	execute(t, "apply", "--url", url, "--by", "ani", doc)
	if s.applied.Base != 7 || s.applied.By != "ani" || len(s.applied.Documents) != 1 || s.applied.Documents[0].Name != "classes.ini" {
		t.Errorf("got %+v, want the document based on version 7 by ani", s.applied)
	}
	execute(t, "apply", "--url", url, "--version", "5", doc)
	if s.applied.Base != 5 {
		t.Errorf("got base %d, want 5", s.applied.Base)
	}
}

func TestEveryCommandHasHelpAndExamples(t *testing.T) {
	names := map[string]bool{}
	for _, c := range cmds.NewRoot().Commands() {
		names[c.Name()] = true
		if c.Short == "" || c.Example == "" {
			t.Errorf("got %s without help or example, want both", c.Name())
		}
		checkExamples(t, c)
	}
	for _, want := range strings.Fields("serve trial check apply show status drain version") {
		if !names[want] {
			t.Errorf("got no command %s, want one", want)
		}
	}
}

// checkExamples parses the flags of each example as the command does.
func checkExamples(t *testing.T, c *cobra.Command) {
	t.Helper()
	for _, line := range strings.Split(c.Example, "\n") {
		words := strings.Fields(line)
		if len(words) < 2 || words[0] != "fulmarwick" || words[1] != c.Name() {
			t.Errorf("got example %q of %s, want a line that runs the command", line, c.Name())
			continue
		}
		if err := c.ParseFlags(words[2:]); err != nil {
			t.Errorf("got %v from example %q, want known flags", err, line)
		}
	}
}

// stopRecorder records the calls made by handleSignals.
type stopRecorder struct {
	mu    sync.Mutex
	calls []string
}

func (s *stopRecorder) Stop()           { s.add("stop") }
func (s *stopRecorder) CloseListeners() { s.add("hurry") }

func (s *stopRecorder) add(call string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls = append(s.calls, call)
}

func (s *stopRecorder) joined() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return strings.Join(s.calls, " ")
}

// The platform sends SIGTERM, and sends it again if the process doesn't exit soon
// enough. The first signal starts the graceful stop, the second only closes the
// listeners. Neither ends the process, which would interrupt every request in
// progress.
func TestSignalsCutNoRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		signals, ended := make(chan os.Signal, 2), make(chan struct{})
		s := &stopRecorder{}
		go cmds.HandleSignals(t.Context(), signals, ended, s)
		for _, want := range []string{"stop", "stop hurry", "stop hurry hurry"} {
			signals <- syscall.SIGTERM
			synctest.Wait()
			if got := s.joined(); got != want {
				t.Errorf("got %q, want %q", got, want)
			}
		}
		close(ended)
	})
}
