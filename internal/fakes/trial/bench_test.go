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

// routerVariable holds the URL of the platform. If it is set, the test binary runs
// an instance of the router. In a process of its own, the router reports only its
// own processor time, without that of stand-ins and clients.
const routerVariable = "FULMARWICK_BENCH_PLATFORM"

// relayVariable holds an address. If it is set, the test binary copies bytes
// between its own callers and that address.
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

// runRelay copies bytes until its standard input ends. It measures the least cost of
// any process between engine and client.
func runRelay(to string) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(os.Stdout, "%s -\n", l.Addr())
	stdinClosed := make(chan struct{})
	go func() {
		_, _ = io.Copy(io.Discard, os.Stdin)
		close(stdinClosed)
		_ = l.Close()
	}()
	for {
		c, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			<-stdinClosed
			return nil
		}
		if err != nil {
			return err
		}
		upstream, err := net.Dial("tcp", to)
		if err != nil {
			return err
		}
		// The wrappers hide the connection types, so that io.Copy can't leave the
		// copying to the kernel.
		go func() { _, _ = io.Copy(struct{ io.Writer }{upstream}, struct{ io.Reader }{c}) }()
		go func() { _, _ = io.Copy(struct{ io.Writer }{c}, struct{ io.Reader }{upstream}) }()
	}
}

// runRouter runs an instance until its standard input ends. It first prints the
// addresses for callers and for operators.
func runRouter(platform string) error {
	var listeners [2]net.Listener
	for i := range listeners {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		listeners[i] = l
	}
	settings := setup.Default()
	settings.Instance = setup.Instance{Name: "bench-1", DataCentre: "klang", Region: "bench"}
	settings.Platform = setup.Platform{Table: platform, Watch: 100 * time.Millisecond}
	settings.Times.Grace = 0
	// Targets of a minute are loose enough to never affect a benchmark.
	document := "[class bench]\nkind = model\nmodel = " + clock.Model + "\nfirst = 1m\ngap = 1m\npercent = 95\n" +
		"[team bench]\nkey-hash = " + string(config.HashKey(benchKey)) + "\n"
	table := &store.Client{BaseURL: platform, HTTP: store.NewHTTPClient()}
	if err := trial.Apply(context.Background(), table, document); err != nil {
		return err
	}
	d := &daemon.Daemon{Settings: settings, Log: zap.NewNop(), Listener: listeners[0], Operators: listeners[1]}
	_, _ = fmt.Fprintf(os.Stdout, "%s %s\n", listeners[0].Addr(), listeners[1].Addr())
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		_, _ = io.Copy(io.Discard, os.Stdin)
		cancel()
	}()
	return d.Run(ctx)
}

// testBed is what the benchmarks send requests to: a router in its own process in
// front of an engine that answers at once, or a server to compare it with.
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
	platform.SetEntries([]store.ListedBody{{ID: "clock", Role: store.RoleEngine, URL: engine.URL, DataCentre: "klang", State: frame.StateLive}})
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

// readyTimeout bounds the wait until the router has discovered its engine.
const readyTimeout = 20 * time.Second

// waitReady sends requests until the router serves one. After readyTimeout it fails
// the benchmark with the last response.
func (b *testBed) waitReady(t *testing.B) {
	t.Helper()
	start := time.Now()
	for {
		status, last := b.request(t, 1, 0, nil)
		if status == http.StatusOK {
			return
		}
		if time.Since(start) > readyTimeout {
			t.Fatalf("got %d %s from the router after %s, want 200", status, last, readyTimeout)
		}
	}
}

// startProcess starts the test binary as another process with an environment
// variable set, and returns the two words of the line that it prints first.
func startProcess(b *testing.B, variable string) (first, second string) {
	b.Helper()
	// The benchmark's own context ends before the clean-up and would kill the
	// process; the clean-up lets it exit by itself.
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

// newRelay returns a plain server behind a process that only copies bytes.
func newRelay(b *testing.B) *testBed {
	b.Helper()
	out := newFloor(b)
	at, _ := startProcess(b, relayVariable+"="+strings.TrimPrefix(out.url, "http://"))
	out.url = "http://" + at
	return out
}

// newFloor returns a plain server without a router that streams the same tokens.
// Its figures are the machine's own share of every figure.
func newFloor(b *testing.B) *testBed {
	b.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		var chat struct {
			Max      int `json:"max_tokens"`
			Messages []struct{ Content string }
		}
		if err := json.NewDecoder(req.Body).Decode(&chat); err != nil {
			return
		}
		gap, _ := time.ParseDuration(strings.TrimPrefix(chat.Messages[0].Content, "gap="))
		for range chat.Max {
			time.Sleep(gap)
			_, _ = fmt.Fprintf(w, "data: {\"content\":\"%d\"}\n\n", time.Now().UnixNano())
			_ = http.NewResponseController(w).Flush()
		}
		_, _ = io.WriteString(w, "data: [DONE]\n\n")
	}))
	b.Cleanup(server.Close)
	return &testBed{url: server.URL, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024}}}
}

// stream requests tokens spaced by gap and calls onData with each event's data. It
// fails the test unless the stream is complete.
func (b *testBed) stream(t testing.TB, tokens int, gap time.Duration, onData func(data string)) {
	status, last := b.request(t, tokens, gap, onData)
	if status != http.StatusOK || last != "data: [DONE]" {
		t.Errorf("got status %d and last line %q, want 200 and [DONE]", status, last)
	}
}

// request is like stream but doesn't check the response. It returns the status and
// the last line that isn't empty.
func (b *testBed) request(t testing.TB, tokens int, gap time.Duration, onData func(data string)) (status int, last string) {
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
		if ok && onData != nil {
			onData(data)
		}
		if lines.Text() != "" {
			last = lines.Text()
		}
	}
	return resp.StatusCode, last
}

// cpuSeconds returns the processor time that the router's process has used, in
// seconds.
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
	t.Fatal("metric process_cpu_seconds_total is missing")
	return 0
}

// sentAt returns when the engine sent the token in an event's data.
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

// runConcurrent calls work b.N times in all, from n goroutines.
func runConcurrent(b *testing.B, n int, work func()) {
	var wg sync.WaitGroup
	jobs := make(chan struct{}, b.N)
	for range b.N {
		jobs <- struct{}{}
	}
	close(jobs)
	b.ResetTimer()
	for range n {
		wg.Go(func() {
			for range jobs {
				work()
			}
		})
	}
	wg.Wait()
	b.StopTimer()
}

// BenchmarkRequests reports requests of one token each, per second and per
// core-second of the router.
func BenchmarkRequests(b *testing.B) {
	bed := newRouter(b)
	before := bed.cpuSeconds(b)
	runConcurrent(b, 64, func() { bed.stream(b, 1, 0, nil) })
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "requests/s")
	b.ReportMetric(float64(b.N)/(bed.cpuSeconds(b)-before), "requests/core-s")
}

// BenchmarkTokens reports streamed tokens, per second and per core-second of the
// router.
func BenchmarkTokens(b *testing.B) {
	const tokens = 500
	bed := newRouter(b)
	before := bed.cpuSeconds(b)
	runConcurrent(b, 64, func() { bed.stream(b, tokens, 0, nil) })
	total := float64(b.N * tokens)
	b.ReportMetric(total/b.Elapsed().Seconds(), "tokens/s")
	b.ReportMetric(total/(bed.cpuSeconds(b)-before), "tokens/core-s")
}

// testBeds are the router, a process that only copies bytes in its place, and a
// plain server with no process in between.
var testBeds = []struct {
	name string
	make func(*testing.B) *testBed
}{{"router", newRouter}, {"relay", newRelay}, {"floor", newFloor}}

// BenchmarkFirst reports the time from a request to its first token. The engine
// answers at once, so what exceeds the figure of "floor" is added by the router.
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
		start, first := time.Now(), true
		bed.stream(b, 1, 0, func(string) {
			if !first {
				return
			}
			first = false
			latency := time.Since(start)
			mu.Lock()
			defer mu.Unlock()
			_ = h.RecordValue(int64(latency))
		})
	})
	reportQuantiles(b, h, "first")
}

// BenchmarkBetween reports the latency of a token from the engine to the client,
// with a token sent every 10 ms. What exceeds the figure of "floor" is an upper
// bound for what the router adds to the time between two tokens.
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
			sent, ok := sentAt(data)
			latency := time.Since(sent)
			if !ok {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			_ = h.RecordValue(int64(latency))
		})
	})
	reportQuantiles(b, h, "between")
}
