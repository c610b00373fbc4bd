package trial_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"fulmarwick/internal/app/daemon"
	"fulmarwick/internal/app/setup"
	"fulmarwick/internal/base/frame"
	"fulmarwick/internal/fakes/clock"
	"fulmarwick/internal/fakes/infra"
	"fulmarwick/internal/fakes/trial"
	"fulmarwick/internal/state/config"
	"fulmarwick/internal/state/store"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/go-faster/errors"
	"go.uber.org/zap"
)

// routerVariable makes the test binary act as an instance before the platform
// that it names. The router so runs in a process of its own, and the processor
// time that it reports is its own and not that of stand-ins and clients.
const routerVariable = "FULMARWICK_BENCH_PLATFORM"

// relayVariable makes the test binary act as a relay of bytes to the address
// that it names.
const relayVariable = "FULMARWICK_BENCH_RELAY"

const benchKey = "bench-key"

func TestMain(m *testing.M) {
	if platform := os.Getenv(routerVariable); platform != "" {
		if err := runRouter(platform); err != nil {
			_, _ = fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	if to := os.Getenv(relayVariable); to != "" {
		if err := runRelay(to); err != nil {
			_, _ = fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	os.Exit(m.Run())
}

// runRelay copies bytes until its standard input ends. It is the least that any
// process between engine and client costs.
func runRelay(to string) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(os.Stdout, "%s -\n", l.Addr())
	ended := make(chan struct{})
	go func() {
		_, _ = io.Copy(io.Discard, os.Stdin)
		close(ended)
		_ = l.Close()
	}()
	for {
		c, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			<-ended
			return nil
		}
		if err != nil {
			return err
		}
		far, err := net.Dial("tcp", to)
		if err != nil {
			return err
		}
		// Wrapped, so that the copy is not left to the kernel.
		go func() { _, _ = io.Copy(struct{ io.Writer }{far}, struct{ io.Reader }{c}) }()
		go func() { _, _ = io.Copy(struct{ io.Writer }{c}, struct{ io.Reader }{far}) }()
	}
}

// runRouter runs an instance until its standard input ends. It writes its two
// addresses first.
func runRouter(platform string) error {
	var at [2]net.Listener
	for i := range at {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		at[i] = l
	}
	settings := setup.Default()
	settings.Instance = setup.Instance{Name: "bench-1", DataCentre: "klang", Region: "bench"}
	settings.Platform = setup.Platform{Table: platform, Watch: 100 * time.Millisecond}
	settings.Times.Grace = 0
	loose := "[class bench]\nkind = model\nmodel = " + clock.Model + "\nfirst = 1m\ngap = 1m\npercent = 95\n" +
		"[team bench]\nkey-hash = " + string(config.HashKey(benchKey)) + "\n"
	table := &store.Client{BaseURL: platform, HTTP: store.NewHTTPClient()}
	if err := trial.Apply(context.Background(), table, loose); err != nil {
		return err
	}
	d := &daemon.Daemon{Settings: settings, Log: zap.NewNop(), Listener: at[0], Operators: at[1]}
	_, _ = fmt.Fprintf(os.Stdout, "%s %s\n", at[0].Addr(), at[1].Addr())
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		_, _ = io.Copy(io.Discard, os.Stdin)
		cancel()
	}()
	return d.Run(ctx)
}

// testBed is a router in its own process before one engine that answers at once.
type testBed struct {
	url       string
	operators string
	client    *http.Client
}

func newRouter(b *testing.B) *testBed {
	b.Helper()
	engine := httptest.NewServer((&clock.Engine{}).Handler())
	b.Cleanup(engine.Close)
	platform := &infra.Server{Table: &infra.Table{}}
	platform.List([]store.ListedBody{{ID: "clock", Role: store.RoleEngine, URL: engine.URL, DataCentre: "klang", State: frame.StateLive}})
	table := httptest.NewServer(platform.Handler())
	b.Cleanup(table.Close)
	callers, operators := startProcess(b, routerVariable+"="+table.URL)
	out := &testBed{
		url: "http://" + callers, operators: "http://" + operators,
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024}},
	}
	out.waitReady(b)
	return out
}

// readyTimeout bounds the wait for a router that knows its engine.
const readyTimeout = 20 * time.Second

// waitReady asks until the router serves, and tells what it says if it does not.
func (b *testBed) waitReady(t *testing.B) {
	t.Helper()
	began := time.Now()
	for {
		status, last := b.request(t, 1, 0, nil)
		if status == http.StatusOK {
			return
		}
		if time.Since(began) > readyTimeout {
			t.Fatalf("got %d %s from the router for %s, want an answer", status, last, readyTimeout)
		}
	}
}

// startProcess starts the test binary as another process and returns the two words
// that it writes first.
func startProcess(b *testing.B, variable string) (first, second string) {
	b.Helper()
	// Not the benchmark's own context: that ends before the clean-up, which
	// lets the router end by itself.
	cmd := exec.CommandContext(context.Background(), os.Args[0])
	cmd.Env = append(os.Environ(), variable)
	cmd.Stderr = os.Stderr
	stdin, err := cmd.StdinPipe()
	if err != nil {
		b.Fatal(err)
	}
	stdout, err := cmd.StdoutPipe()
	if err != nil {
		b.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() {
		_ = stdin.Close()
		_ = cmd.Wait()
	})
	line, err := bufio.NewReader(stdout).ReadString('\n')
	if err != nil {
		b.Fatal(err)
	}
	first, second, _ = strings.Cut(strings.TrimSpace(line), " ")
	return first, second
}

// newRelay is a floor behind a process that only copies bytes.
func newRelay(b *testing.B) *testBed {
	b.Helper()
	out := newFloor(b)
	at, _ := startProcess(b, relayVariable+"="+strings.TrimPrefix(out.url, "http://"))
	out.url = "http://" + at
	return out
}

// newFloor is a bed without a router: a plain server that streams the same
// tokens. What it takes is the machine's own share of a figure.
func newFloor(b *testing.B) *testBed {
	b.Helper()
	floor := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		var ask struct {
			Max      int `json:"max_tokens"`
			Messages []struct{ Content string }
		}
		if err := json.NewDecoder(req.Body).Decode(&ask); err != nil {
			return
		}
		gap, _ := time.ParseDuration(strings.TrimPrefix(ask.Messages[0].Content, "gap="))
		for range ask.Max {
			time.Sleep(gap)
			_, _ = fmt.Fprintf(w, "data: {\"content\":\"%d\"}\n\n", time.Now().UnixNano())
			_ = http.NewResponseController(w).Flush()
		}
		_, _ = io.WriteString(w, "data: [DONE]\n\n")
	}))
	b.Cleanup(floor.Close)
	return &testBed{url: floor.URL, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024}}}
}

// stream asks for tokens spaced by gap and gives each event's data to seen.
func (b *testBed) stream(t testing.TB, tokens int, gap time.Duration, seen func(data string)) {
	status, last := b.request(t, tokens, gap, seen)
	if status != http.StatusOK || last != "data: [DONE]" {
		t.Errorf("got %d and last %q, want 200 and [DONE]", status, last)
	}
}

// request is stream without a verdict. It returns the status and the last line.
func (b *testBed) request(t testing.TB, tokens int, gap time.Duration, seen func(data string)) (status int, last string) {
	body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"gap=%s"}]}`, clock.Model, tokens, gap)
	req, err := http.NewRequest(http.MethodPost, b.url+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+benchKey)
	resp, err := b.client.Do(req)
	if err != nil {
		t.Error(err)
		return 0, ""
	}
	defer func() { _ = resp.Body.Close() }()
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if ok && seen != nil {
			seen(data)
		}
		if lines.Text() != "" {
			last = lines.Text()
		}
	}
	return resp.StatusCode, last
}

// cpuSeconds is the processor time that the router's process has used, in seconds.
func (b *testBed) cpuSeconds(t testing.TB) float64 {
	resp, err := b.client.Get(b.operators + "/metrics")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if text, ok := strings.CutPrefix(lines.Text(), "process_cpu_seconds_total "); ok {
			v, err := strconv.ParseFloat(text, 64)
			if err != nil {
				t.Fatal(err)
			}
			return v
		}
	}
	t.Fatal("got no process_cpu_seconds_total")
	return 0
}

// sentAt is when the token in an event's data left the engine.
func sentAt(data string) (time.Time, bool) {
	_, rest, ok := strings.Cut(data, `"content":"`)
	if !ok {
		return time.Time{}, false
	}
	n, err := strconv.ParseInt(rest[:strings.IndexByte(rest, '"')], 10, 64)
	return time.Unix(0, n), err == nil
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(time.Minute), 3)
}

func reportQuantiles(b *testing.B, h *hdrhistogram.Histogram, name string) {
	for _, q := range []float64{50, 99} {
		b.ReportMetric(float64(h.ValueAtQuantile(q))/1e3, fmt.Sprintf("%s-p%.0f-us", name, q))
	}
}

// runConcurrent runs work in n goroutines until the benchmark's count is done.
func runConcurrent(b *testing.B, n int, work func()) {
	var all sync.WaitGroup
	todo := make(chan struct{}, b.N)
	for range b.N {
		todo <- struct{}{}
	}
	close(todo)
	b.ResetTimer()
	for range n {
		all.Go(func() {
			for range todo {
				work()
			}
		})
	}
	all.Wait()
	b.StopTimer()
}

// BenchmarkRequests gives whole requests of one token a second, and per core
// of the router.
func BenchmarkRequests(b *testing.B) {
	bed := newRouter(b)
	before := bed.cpuSeconds(b)
	runConcurrent(b, 64, func() { bed.stream(b, 1, 0, nil) })
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "requests/s")
	b.ReportMetric(float64(b.N)/(bed.cpuSeconds(b)-before), "requests/core-s")
}

// BenchmarkTokens gives streamed tokens a second, and per core of the router.
func BenchmarkTokens(b *testing.B) {
	const tokens = 500
	bed := newRouter(b)
	before := bed.cpuSeconds(b)
	runConcurrent(b, 64, func() { bed.stream(b, tokens, 0, nil) })
	total := float64(b.N * tokens)
	b.ReportMetric(total/b.Elapsed().Seconds(), "tokens/s")
	b.ReportMetric(total/(bed.cpuSeconds(b)-before), "tokens/core-s")
}

// testBeds are the router, a process that only copies bytes in its place, and
// none.
var testBeds = []struct {
	name string
	make func(*testing.B) *testBed
}{{"router", newRouter}, {"relay", newRelay}, {"floor", newFloor}}

// BenchmarkFirst gives the time from a request to its first token. The engine
// answers at once, so the router adds what is above the floor.
func BenchmarkFirst(b *testing.B) {
	for _, streams := range []int{1, 16} {
		for _, bed := range testBeds {
			b.Run(fmt.Sprintf("streams=%d/%s", streams, bed.name), func(b *testing.B) {
				benchFirst(b, bed.make(b), streams)
			})
		}
	}
}

func benchFirst(b *testing.B, bed *testBed, streams int) {
	h := newHistogram()
	var mu sync.Mutex
	runConcurrent(b, streams, func() {
		began, first := time.Now(), true
		bed.stream(b, 1, 0, func(string) {
			if !first {
				return
			}
			first = false
			took := time.Since(began)
			mu.Lock()
			defer mu.Unlock()
			_ = h.RecordValue(int64(took))
		})
	})
	reportQuantiles(b, h, "first")
}

// BenchmarkBetween gives how long a token is on its way from the engine to the
// client while tokens leave every 10 ms. What is above the floor bounds what
// the router adds to the time between two tokens.
func BenchmarkBetween(b *testing.B) {
	for _, streams := range []int{1, 64, 512} {
		for _, bed := range testBeds {
			b.Run(fmt.Sprintf("streams=%d/%s", streams, bed.name), func(b *testing.B) {
				benchBetween(b, bed.make(b), streams)
			})
		}
	}
}

func benchBetween(b *testing.B, bed *testBed, streams int) {
	const tokens = 100
	h := newHistogram()
	var mu sync.Mutex
	runConcurrent(b, streams, func() {
		bed.stream(b, tokens, 10*time.Millisecond, func(data string) {
			at, ok := sentAt(data)
			took := time.Since(at)
			if !ok {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			_ = h.RecordValue(int64(took))
		})
	})
	reportQuantiles(b, h, "between")
}
