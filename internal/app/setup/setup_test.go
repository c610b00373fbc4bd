package setup_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"fulmarwick/internal/app/setup"
	"fulmarwick/internal/fakes/trust"

	"github.com/go-faster/errors"
)

const (
	instance = "[instance]\nname = klang-1\ndatacentre = klang\nregion = my-west\n"
	listen   = "[listen]\ncallers = 127.0.0.1:8080\n"
	platform = "[platform]\ntable = http://127.0.0.1:7000\n"
	minimal  = instance + listen + platform
)

func TestLeastSettingsTakeDefaults(t *testing.T) {
	got, err := setup.Parse("least.ini", []byte(minimal))
	if err != nil {
		t.Fatal(err)
	}
	if want := setup.Default().Limits; got.Limits != want {
		t.Errorf("got limits %+v, want %+v", got.Limits, want)
	}
	if got.Platform.List != "http://127.0.0.1:7000" {
		t.Errorf("got list %q, want the URL of the table", got.Platform.List)
	}
}

func TestPortsThatTheSystemPicksDoNotClash(t *testing.T) {
	text := instance + "[listen]\ncallers = 127.0.0.1:0\noperators = 127.0.0.1:0\n" + platform
	if _, err := setup.Parse("ports.ini", []byte(text)); err != nil {
		t.Errorf("got %v, want nil", err)
	}
}

func TestValuesAreTaken(t *testing.T) {
	text := minimal + "[limits]\nbody = 2MiB\ntokens = 7\n[times]\ngrace = 90s\n[goal]\nweigh = recovery\n" +
		"[fencing]\nh200 = refuse\nt4 = ignore\n[trace]\nurl = http://127.0.0.1:4318/\npart = 0.5\n"
	got, err := setup.Parse("full.ini", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	if got.Limits.Body != 2<<20 || got.Limits.Tokens != 7 || got.Times.Grace != 90*time.Second {
		t.Errorf("got %+v %+v, want the values of the file", got.Limits, got.Times)
	}
	if got.Goal != setup.GoalRecovery || !got.Fenced["h200"] || got.Fenced["t4"] || len(got.Fenced) != 2 {
		t.Errorf("got goal %s and fencing %v, want recovery, h200 refusing, t4 not", got.Goal, got.Fenced)
	}
	if got.Trace.URL != "http://127.0.0.1:4318" || got.Trace.SampleRatio != 0.5 {
		t.Errorf("got %+v, want the trace settings of the file", got.Trace)
	}
}

// Each rejection must name the file, the line or section, and the reason.
func TestRefusals(t *testing.T) {
	tests := []struct{ name, text, want string }{
		{"unknown section", minimal + "[extra]\na = 1\n", "x.ini:9: [extra] no such section"},
		{"unknown key", minimal + "[limits]\nbodi = 1\n", "x.ini:10: [limits] bodi: no such key"},
		{"doubled key", minimal + "[log]\nlevel = info\nlevel = warn\n", "x.ini:11: [log] level: given twice, first on line 10"},
		{"doubled section", minimal + "[log]\n[log]\n", "x.ini:10: [log] section given twice, first on line 9"},
		{"doubled peer", minimal + "[peers]\na = 127.0.0.1:1\na = 127.0.0.1:2\n", "x.ini:11: [peers] a: given twice"},
		{"doubled address", minimal + "[peers]\na = 127.0.0.1:1\nb = 127.0.0.1:1\n", "x.ini:11: [peers] b: 127.0.0.1:1 is the address of a already"},
		{"number", minimal + "[limits]\ntokens = many\n", `x.ini:10: [limits] tokens: "many" is not a whole number`},
		{"range", minimal + "[limits]\ntokens = 0\n", "x.ini:10: [limits] tokens: 0 is out of range, want 1 to 1048576"},
		{"size range", minimal + "[limits]\nbody = 1GiB\n", `"1GiB" is not a size`},
		{"size overflow", minimal + "[limits]\nbody = 9000000000000000MiB\n", "is not a size"},
		{"time", minimal + "[times]\nbody = 5\n", `[times] body: "5" is not a time`},
		{"time range", minimal + "[times]\nbody = -5s\n", "-5s is out of range, want 100ms to 1h0m0s"},
		{"part", minimal + "[trace]\npart = NaN\n", `"NaN" is not a number from 0 to 1`},
		{"choice", minimal + "[log]\nlevel = loud\n", `"loud" is none of debug, info, warn, error`},
		{"goal", minimal + "[goal]\nweigh = both\n", `"both" is none of throughput, recovery`},
		{"fencing", minimal + "[fencing]\nt4 = yes\n", `[fencing] t4: "yes" is none of refuse, ignore`},
		{"host name", strings.Replace(minimal, "127.0.0.1:8080", "localhost:8080", 1), `"localhost:8080" is not an IP number and port`},
		{"url", strings.Replace(minimal, "http://", "ftp://", 1), "is not a URL that begins with http:// or https://"},
		{"no line form", minimal + "what\n", "x.ini:9: [platform] the line is neither"},
		{"no section", "a = 1\n" + minimal, "x.ini:1: the key a stands before any section"},
		{"several lines", minimal + "[log]\nlevel = \"\"\"\ninfo\"\"\"\n", "values over several lines"},
		{"name", strings.Replace(minimal, "klang-1", "Klang 1", 1), `"Klang 1" is not a name`},
		{"missing key", "[instance]\nname = a\nregion = b\n" + listen + platform, "x.ini:1: [instance] datacentre: missing"},
		{"missing section", instance + listen, "x.ini: [platform] table: missing"},
		{"tls without key", minimal + "[tls callers]\ncert = a\n", "x.ini:9: [tls callers] key: missing"},
		{"same address", strings.Replace(minimal, "[platform]", "peers = 127.0.0.1:8080\n[platform]", 1), "127.0.0.1:8080 is the address for callers already"},
		{"operators exposed", strings.Replace(minimal, "[platform]", "operators = 10.0.0.1:7070\n[platform]", 1), "needs [tls operators] with ca"},
		{"peers exposed", strings.Replace(minimal, "[platform]", "peers = 10.0.0.1:7070\n[platform]", 1), "needs [tls peers] with ca"},
		{"peers without listener", minimal + "[peers]\na = 127.0.0.1:1\n", "[listen] peers: missing, though [peers] names others"},
		{"self", minimal + "[peers]\nklang-1 = 127.0.0.1:1\n", "x.ini:10: [peers] klang-1: is this instance itself"},
		{"team above streams", minimal + "[limits]\nstreams = 10\nteam = 11\nconnection = 5\n", "team: 11 is above streams, which is 10"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := setup.Parse("x.ini", []byte(tt.text))
			if !errors.Is(err, setup.ErrBad) {
				t.Fatalf("got %v, want ErrBad", err)
			}
			if !strings.Contains(err.Error(), tt.want) {
				t.Errorf("got %q, want it to contain %q", err, tt.want)
			}
		})
	}
}

// One run must report every problem of a file, sorted by line.
func TestAllProblemsAtOnce(t *testing.T) {
	text := "stray\n[instance]\nname = A B\nname = b\n[limits]\ntokens = -1\nfoo = 1\n[nothing]\n"
	_, err := setup.Parse("x.ini", []byte(text))
	var bad *setup.BadError
	if !errors.As(err, &bad) {
		t.Fatalf("got %v, want a BadError", err)
	}
	var lines []int
	for _, p := range bad.Problems() {
		lines = append(lines, p.Line())
	}
	// Missing keys: datacentre and region, reported at the line of their
	// section, then callers and table.
	want := []int{1, 2, 2, 3, 4, 6, 7, 8, 0, 0}
	if len(lines) != len(want) {
		t.Fatalf("got %d problems (%v), want %d", len(lines), err, len(want))
	}
	for i := range want {
		if lines[i] != want[i] {
			t.Errorf("got lines %v, want %v", lines, want)
			break
		}
	}
}

func TestMissingFilesAreRefused(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "a.ini")
	write(t, path, minimal+"[tls callers]\ncert = no.crt\nkey = no.key\n")
	_, err := setup.Load(path)
	for _, want := range []string{":10: [tls callers] cert: cannot be read", ":11: [tls callers] key: cannot be read"} {
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("got %v, want it to contain %q", err, want)
		}
	}
	if _, err := setup.LoadWithoutFiles(path); err != nil {
		t.Errorf("got %v for a file meant for another machine, want nil", err)
	}
	if _, err := setup.Load(filepath.Join(dir, "none.ini")); !errors.Is(err, setup.ErrBad) {
		t.Errorf("got %v for a missing settings file, want ErrBad", err)
	}
}

func TestBadCertificateIsRefused(t *testing.T) {
	dir := t.TempDir()
	write(t, filepath.Join(dir, "a.crt"), "no PEM")
	write(t, filepath.Join(dir, "a.key"), "no PEM")
	path := filepath.Join(dir, "a.ini")
	write(t, path, minimal+"[tls callers]\ncert = a.crt\nkey = a.key\nca = a.crt\n")
	_, err := setup.Load(path)
	for _, want := range []string{"certificate and key do not load", "ca: holds no certificate"} {
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("got %v, want it to contain %q", err, want)
		}
	}
}

func write(t *testing.T, path, text string) {
	t.Helper()
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// The example files of both deployments must load unchanged once their
// certificates exist, and their addresses must agree with each other.
func TestExamplesLoad(t *testing.T) {
	for deployment, want := range map[string][]string{
		"association": {"johor-1", "klang-1", "klang-2", "penang-1"},
		"coral":       {"lautoka-b-1", "nadi-a-1", "nadi-a-2", "sigatoka-c-1"},
	} {
		dir := t.TempDir()
		ca, err := trust.New()
		if err != nil {
			t.Fatal(err)
		}
		loaded := map[string]setup.Settings{}
		for _, name := range want {
			data, err := os.ReadFile(filepath.Join("../../../examples", deployment, name+".ini"))
			if err != nil {
				t.Fatal(err)
			}
			if _, err := ca.Write(filepath.Join(dir, "tls"), name, time.Now()); err != nil {
				t.Fatal(err)
			}
			write(t, filepath.Join(dir, name+".ini"), string(data))
			f, err := setup.Load(filepath.Join(dir, name+".ini"))
			if err != nil {
				t.Fatalf("got %v for %s, want nil", err, name)
			}
			loaded[name] = f
		}
		checkPeersAgree(t, loaded)
	}
}

func checkPeersAgree(t *testing.T, loaded map[string]setup.Settings) {
	t.Helper()
	for name, f := range loaded {
		if f.Instance.Name != name || len(f.Peers) != len(loaded)-1 {
			t.Errorf("got instance %s with %d peers, want %s with %d", f.Instance.Name, len(f.Peers), name, len(loaded)-1)
		}
		for _, p := range f.Peers {
			if got, want := p.Address, loaded[p.Name].Listen.Peers; got != want {
				t.Errorf("%s: got address %s of %s, want %s", name, got, p.Name, want)
			}
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(minimal))
	f.Add([]byte("[limits]\nbody = 1MiB\n[peers]\na = `x\n"))
	f.Add([]byte("\xef\xbb\xbf[a]\n\"q\"=1\n-=2\n[]\n[x\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		got, err := setup.Parse("x.ini", data)
		if err != nil && !errors.Is(err, setup.ErrBad) {
			t.Errorf("got %v, want ErrBad or nil", err)
		}
		if err == nil && (got.Instance.Name == "" || got.Listen.Callers == "" || got.Platform.Table == "") {
			t.Errorf("got %+v accepted, want every required setting", got)
		}
	})
}

// The documentation for operators must name every section and key.
func TestSettingsPageIsWhole(t *testing.T) {
	data, err := os.ReadFile("../../../docs/operate/settings.md")
	if err != nil {
		t.Fatal(err)
	}
	page := string(data)
	for section, keys := range setup.Keys() {
		_, rest, ok := strings.Cut(page, "| `["+section+"]` |")
		if !ok {
			t.Errorf("got no section [%s] in the documentation, want it", section)
			continue
		}
		rows, _, _ := strings.Cut(rest, "\n| `[")
		for _, key := range keys {
			if !strings.Contains(rows, "`"+key+"`") {
				t.Errorf("got no key %s under [%s] in the documentation, want it", key, section)
			}
		}
	}
}

// The platform may give a limit or a size as a fraction. This must not keep an
// instance from starting.
func TestFractionsAreTaken(t *testing.T) {
	tests := []struct {
		name, text string
		got        func(setup.Settings) float64
		want       float64
	}{
		{"repeats", "[retry]\nallowance = 40.73684210526316\n", func(f setup.Settings) float64 { return f.Retry.Allowance }, 40.73684210526316},
		{"no repeats", "[retry]\nallowance = 0\n", func(f setup.Settings) float64 { return f.Retry.Allowance }, 0},
		{"ratio", "[retry]\nratio = 0.125\n", func(f setup.Settings) float64 { return f.Retry.Ratio }, 0.125},
		{"window", "[retry]\nwindow = 10.5s\n", func(f setup.Settings) float64 { return f.Retry.Window.Seconds() }, 10.5},
		{"memory", "[limits]\nmemory = 417.25MiB\n", func(f setup.Settings) float64 { return float64(f.Limits.Memory) }, 417.25 * (1 << 20)},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f, err := setup.Parse("x.ini", []byte(minimal+test.text))
			if err != nil {
				t.Fatal(err)
			}
			if got := test.got(f); got != test.want {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}

// FuzzSettings guards against settings that crash the program instead of being
// rejected, and against accepted values outside their range.
func FuzzSettings(f *testing.F) {
	for _, value := range []string{"", "0", "-1", "1e300", "NaN", "inf", "0x1p-2", "40.7", "10s", "417.5MiB", "9e18MiB"} {
		f.Add(value)
	}
	f.Fuzz(func(t *testing.T, value string) {
		for _, key := range []string{"[retry]\nallowance = ", "[retry]\nratio = ", "[retry]\nwindow = ", "[limits]\nmemory = "} {
			s, err := setup.Parse("x.ini", []byte(minimal+key+value+"\n"))
			if err != nil {
				continue
			}
			if s.Retry.Allowance < 0 || s.Retry.Ratio < 0 || s.Retry.Ratio > 1 || s.Retry.Window <= 0 || s.Limits.Memory < 0 {
				t.Errorf("got %+v and %d bytes of memory from %q, want it rejected", s.Retry, s.Limits.Memory, key+value)
			}
		}
	})
}
