package engine_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"fulmarwick/internal/base/frame"
	"fulmarwick/internal/fakes/inmem"
	"fulmarwick/internal/fakes/stage"
	"fulmarwick/internal/wire/engine"
)

// fixedBody answers every call with the same body.
type fixedBody string

func (s fixedBody) RoundTrip(*http.Request) (*http.Response, error) {
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(strings.NewReader(string(s)))}, nil
}

func controlFor(body string) *engine.Control {
	return &engine.Control{HTTP: &http.Client{Transport: fixedBody(body)}, Base: "http://e"}
}

const validReport = `{"name":"e","state":"live","slots":4,"layer":1000,"seq":7,"holds":[{"model":"m","version":"1","depth":8,"from":0,"to":4}]}`

// An engine reports values that cannot be true. The report must be rejected
// with a reason: its values would overflow predictions or place layers twice.
func TestHostileReportsAreRefused(t *testing.T) {
	if _, err := controlFor(validReport).Report(t.Context()); err != nil {
		t.Fatalf("got %v for a valid report, want nil", err)
	}
	for name, change := range map[string][2]string{
		"not JSON":        {`{"name"`, `{name`},
		"NaN":             {`"slots":4`, `"slots":NaN`},
		"fraction":        {`"slots":4`, `"slots":0.5`},
		"unknown state":   {`"live"`, `"lively"`},
		"negative slots":  {`"slots":4`, `"slots":-4`},
		"huge slots":      {`"slots":4`, `"slots":99999999`},
		"negative time":   {`"layer":1000`, `"layer":-1`},
		"endless time":    {`"layer":1000`, `"layer":9000000000000000000`},
		"inverted range":  {`"from":0,"to":4`, `"from":4,"to":0`},
		"empty range":     {`"from":0,"to":4`, `"from":4,"to":4`},
		"beyond depth":    {`"to":4`, `"to":9`},
		"huge depth":      {`"depth":8`, `"depth":99999999`},
		"negative from":   {`"from":0`, `"from":-1`},
		"no model":        {`"model":"m"`, `"model":""`},
		"overlap":         {`"holds":[`, `"holds":[{"model":"m","version":"1","depth":8,"from":3,"to":8},`},
		"negative width":  {`"depth":8`, `"width":-8,"depth":8`},
		"long name":       {`"name":"e"`, `"name":"` + strings.Repeat("e", 300) + `"`},
		"negative link":   {`"slots":4`, `"link":-1`},
		"negative memory": {`"slots":4`, `"memory":-1`},
	} {
		t.Run(name, func(t *testing.T) {
			body := strings.Replace(validReport, change[0], change[1], 1)
			if body == validReport {
				t.Fatal("the case changes nothing")
			}
			if got, err := controlFor(body).Report(t.Context()); !errors.Is(err, engine.ErrInvalidResponse) {
				t.Errorf("got %+v and %v, want ErrBody", got, err)
			}
		})
	}
}

func TestOversizedAnswerIsRefused(t *testing.T) {
	body := validReport[:len(validReport)-1] + strings.Repeat(" ", 2<<20) + "}"
	if _, err := controlFor(body).Report(t.Context()); !errors.Is(err, engine.ErrInvalidResponse) {
		t.Errorf("got %v, want ErrBody", err)
	}
}

func TestEventSequenceMustIncrease(t *testing.T) {
	for body, valid := range map[string]bool{
		`{"seq":9,"events":[{"seq":8},{"seq":9}]}`:  true,
		`{"seq":9,"events":[{"seq":6},{"seq":9}]}`:  true, // the routing logic handles gaps
		`{"seq":9,"events":[{"seq":9},{"seq":8}]}`:  false,
		`{"seq":9,"events":[{"seq":5}]}`:            false,
		`{"seq":9,"events":[{"seq":10}]}`:           false,
		`{"seq":2,"reset":true,"blocks":[1,2,3,4]}`: true,
	} {
		if _, err := controlFor(body).Events(t.Context(), 5); (err == nil) != valid {
			t.Errorf("got %v for %s, want valid %t", err, body, valid)
		}
	}
}

func FuzzReport(f *testing.F) {
	f.Add([]byte(validReport))
	f.Add([]byte(`{"holds":[{}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		got, err := controlFor(string(data)).Report(context.Background())
		if err != nil {
			return
		}
		row := engine.ToEngine("e", got)
		for _, h := range row.Loaded {
			if h.Layers.From() < 0 || h.Layers.Len() <= 0 || h.Layers.To() > h.Depth || row.Slots < 0 || row.LayerTime < 0 {
				t.Errorf("got row %+v from %q, want an error", row, data)
			}
		}
	})
}

func FuzzEvents(f *testing.F) {
	f.Add([]byte(`{"seq":9,"events":[{"seq":8,"added":true,"block":5}]}`))
	f.Add([]byte(`{"seq":9,"reset":true,"blocks":[1]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		page, err := controlFor(string(data)).Events(context.Background(), 3)
		if err != nil {
			return
		}
		last := uint64(3)
		for _, seen := range engine.ToCacheReports("e", page) {
			if !seen.Reset && seen.Seq <= last {
				t.Errorf("got event %d after %d from %q, want increasing numbers", seen.Seq, last, data)
			}
			last = seen.Seq
		}
	})
}

func FuzzExport(f *testing.F) {
	f.Add([]byte(`{"req":"r","from":0,"to":2,"pos":3,"data":"AAAA"}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		kv, err := controlFor(string(data)).Export(context.Background(), "r", 0, 2)
		if err == nil && (kv.Req != "r" || kv.From != 0 || kv.To != 2 || kv.Pos < 0) {
			t.Errorf("got %+v from %q, want an error", kv, data)
		}
	})
}

// serveEngine serves a fake engine in memory.
func serveEngine(e *stage.Engine) (*engine.Control, *engine.Pool, func()) {
	l := inmem.Listen()
	server := &http.Server{Handler: e.Handler()}
	done := make(chan struct{})
	go func() {
		_ = server.Serve(l)
		close(done)
	}()
	transport := &http.Transport{DialContext: l.Dial, DisableKeepAlives: true}
	p := &engine.Pool{Dial: l.Dial}
	p.SetAddress("e", "http://e")
	return &engine.Control{HTTP: &http.Client{Transport: transport}, Base: "http://e"}, p, func() {
		p.Close()
		_ = server.Close()
		<-done
	}
}

func holds(model string, ranges ...int) []frame.LoadedLayers {
	var out []frame.LoadedLayers
	for i := 0; i+1 < len(ranges); i += 2 {
		out = append(out, frame.LoadedLayers{Model: model, Version: "1", Depth: 100, From: ranges[i], To: ranges[i+1]})
	}
	return out
}

// A former lease holder resumes after a pause and sends its order late. An
// engine that checks fencing tokens must refuse it. An engine that does not
// check accepts it, so routing trusts only what engines report.
func TestOrderWithOldFencingToken(t *testing.T) {
	for _, fenced := range []bool{true, false} {
		e := &stage.Engine{Name: "e", Fenced: fenced, Memory: 50}
		c, _, stop := serveEngine(e)
		if err := c.Order(t.Context(), frame.Order{Fence: 8, Holds: holds("m", 0, 40)}); err != nil {
			t.Fatal(err)
		}
		err := c.Order(t.Context(), frame.Order{Fence: 7, Holds: holds("m", 40, 80)})
		if got := errors.Is(err, engine.ErrStaleFence); got != fenced {
			t.Errorf("got %v from an engine with fencing %t, want ErrStaleFence %t", err, fenced, fenced)
		}
		want := "40-80"
		if fenced {
			want = "0-40"
		}
		body, err := c.Report(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		if got := engine.ToEngine("e", body).Loaded[0].Layers.String(); got != want {
			t.Errorf("got layers %s, want %s", got, want)
		}
		if err := c.Order(t.Context(), frame.Order{Fence: 9, Holds: holds("m", 0, 60)}); !errors.Is(err, engine.ErrRefused) {
			t.Errorf("got %v for more layers than memory, want ErrRefused", err)
		}
		stop()
	}
}

// Two engines are ordered at once to load from the same store. Layers that
// they already hold and keep must stay available, and the rest must load at
// the rate of the store, one engine after the other.
func TestLoadingWaitsForStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &stage.WeightStore{Rate: 10}
		var reports []func() string
		for i := range 2 {
			e := &stage.Engine{Name: fmt.Sprint(i), Holds: holds("m", 0, 30), WeightStore: store}
			c, _, stop := serveEngine(e)
			defer stop()
			if err := c.Order(t.Context(), frame.Order{Fence: 1, Holds: holds("m", 20, 50)}); err != nil {
				t.Fatal(err)
			}
			reports = append(reports, func() string {
				body, err := c.Report(t.Context())
				if err != nil {
					t.Fatal(err)
				}
				return engine.ToEngine("e", body).Loaded[0].Layers.String()
			})
		}
		for _, want := range [][2]string{{"20-30", "20-30"}, {"20-50", "20-30"}, {"20-50", "20-50"}} {
			if got := [2]string{reports[0](), reports[1]()}; got != want {
				t.Errorf("got layers %v, want %v", got, want)
			}
			time.Sleep(2*time.Second + time.Millisecond)
		}
	})
}

// The cache events of a prompt are requested right after its reply and a
// second later. They must appear after the lag of one second, without the
// event that the engine skips. For a sequence number that the engine does not
// know, such as one from before a restart, it must report the whole content.
func TestCacheEventsLateAndWithGaps(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, p, stop := serveEngine(&stage.Engine{
			Name: "e", Holds: holds("m", 0, 100), Cache: 3, EventLag: time.Second,
			SkipEvent: func(seq uint64) bool { return seq == 2 },
		})
		defer stop()
		s, err := p.Open(t.Context(), "e", "r", 1, 0)
		if err != nil {
			t.Fatal(err)
		}
		text := strings.Repeat("door ", 200)
		if err := s.Send(&frame.Step{Seq: 1, Model: "m", To: 100, Text: text}); err != nil {
			t.Fatal(err)
		}
		var r frame.Reply
		if err := s.Recv(t.Context(), time.Minute, &r); err != nil || r.Code != frame.CodeOK {
			t.Fatalf("got %v and code %s, want an answer", err, r.Code)
		}
		page, err := c.Events(t.Context(), 0)
		if err != nil || len(page.Events) != 0 {
			t.Errorf("got %+v and %v at once, want no events yet", page, err)
		}
		time.Sleep(time.Second)
		page, err = c.Events(t.Context(), 0)
		if err != nil || len(page.Events) != 2 || page.Seq != 3 {
			t.Errorf("got %+v and %v, want events 1 and 3", page, err)
		}
		page, err = c.Events(t.Context(), 99)
		if err != nil || !page.Reset || len(page.Blocks) != 3 {
			t.Errorf("got %+v and %v for a number from before a restart, want the whole content", page, err)
		}
	})
}

// The load in a report lags behind. A running step must appear only after the
// lag of the report, and a finished one must stay for as long.
func TestReportLags(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &stage.Engine{Name: "e", Holds: holds("m", 0, 100), LayerTime: 30 * time.Millisecond, ReportLag: 2 * time.Second}
		_, p, stop := serveEngine(e)
		defer stop()
		if got := e.Report().Active; got != 0 {
			t.Errorf("got %d active, want 0", got)
		}
		s, err := p.Open(t.Context(), "e", "r", 1, 0)
		if err != nil {
			t.Fatal(err)
		}
		if err := s.Send(&frame.Step{Seq: 1, Model: "m", To: 100, Text: "x"}); err != nil {
			t.Fatal(err)
		}
		for _, want := range []int{0, 1, 1, 0} {
			time.Sleep(time.Second + time.Millisecond)
			if got := e.Report().Active; got != want {
				t.Errorf("got %d active, want %d", got, want)
			}
		}
	})
}

// The connection of a caller breaks before its run begins. The engine must not
// keep a state that it opens for the run afterwards: no one is left to cancel
// it.
func TestRunOfDeadConnectionLeavesNoState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &stage.Engine{Name: "e", Holds: holds("m", 0, 100), LayerTime: time.Millisecond}
		_, p, stop := serveEngine(e)
		defer stop()
		s, err := p.Open(t.Context(), "e", "r", 1, 0)
		if err != nil {
			t.Fatal(err)
		}
		if err := s.Send(&frame.Step{Verb: frame.VerbRun, Seq: 1, Model: "m", To: 100, Text: "x", Count: 9}); err != nil {
			t.Fatal(err)
		}
		synctest.Wait()
		e.Cut()
		time.Sleep(time.Minute)
		if got := e.Sessions(); got != 0 {
			t.Errorf("got %d states, want 0", got)
		}
	})
}

// An engine is listed at another address, and later not at all. Streams on the
// old connection must end at once, new streams must use the new address, and
// none may open on a removed engine.
func TestEngineMovesAndIsRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &stage.Engine{Name: "e", Holds: holds("m", 0, 100)}
		_, p, stop := serveEngine(e)
		defer stop()
		s, err := p.Open(t.Context(), "e", "r", 1, 0)
		if err != nil {
			t.Fatal(err)
		}
		p.SetAddress("e", "http://elsewhere")
		var r frame.Reply
		if err := s.Recv(t.Context(), time.Second, &r); !errors.Is(err, engine.ErrBroken) {
			t.Errorf("got %v on the old connection, want ErrBroken", err)
		}
		if _, err := p.Open(t.Context(), "e", "r", 1, 0); err != nil {
			t.Errorf("got %v at the new address, want nil", err)
		}
		p.Remove("e")
		if _, err := p.Open(t.Context(), "e", "r", 1, 0); !errors.Is(err, engine.ErrRefused) {
			t.Errorf("got %v for a removed engine, want ErrRefused", err)
		}
	})
}

// A link fails without an error: packets are lost silently. The connection
// must be closed after two periods without a message, so that its streams
// continue elsewhere. A connection that is only idle must stay open.
func TestUnresponsiveConnectionIsClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &stage.Engine{Name: "e", Holds: holds("m", 0, 100), LayerTime: time.Second}
		l := inmem.Listen()
		server := &http.Server{Handler: e.Handler()}
		go func() { _ = server.Serve(l) }()
		link := &silentConn{}
		p := &engine.Pool{Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := l.Dial(ctx, network, address)
			link.Conn = c
			return link, err
		}}
		p.SetAddress("e", "http://e")
		s, err := p.Open(t.Context(), "e", "r", 1, 0)
		if err != nil {
			t.Fatal(err)
		}
		var r frame.Reply
		if err := s.Recv(t.Context(), time.Minute, &r); !errors.Is(err, engine.ErrTimeout) {
			t.Errorf("got %v after a minute on a good link, want ErrTimeout", err)
		}
		link.cut.Store(true)
		if err := s.Recv(t.Context(), time.Minute, &r); !errors.Is(err, engine.ErrBroken) {
			t.Errorf("got %v on a dead link, want ErrBroken", err)
		}
		p.Close()
		_ = server.Close()
		time.Sleep(time.Minute)
	})
}

// silentConn is a connection that discards all written bytes once cut is set.
type silentConn struct {
	net.Conn
	cut atomic.Bool
}

func (m *silentConn) Write(b []byte) (int, error) {
	if m.cut.Load() {
		return len(b), nil
	}
	return m.Conn.Write(b)
}

// An engine hangs with its connections open and is declared dead because its
// reports are missing. Streams on it must end at once instead of waiting for
// their timeouts. A false declaration costs nothing, since the pool can
// reconnect to the engine.
func TestBreakEndsStreamsOfDownEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &stage.Engine{Name: "e", Holds: holds("m", 0, 100)}
		_, p, stop := serveEngine(e)
		defer stop()
		s, err := p.Open(t.Context(), "e", "r", 1, 0)
		if err != nil {
			t.Fatal(err)
		}
		p.Disconnect("e")
		var r frame.Reply
		if err := s.Recv(t.Context(), time.Minute, &r); !errors.Is(err, engine.ErrBroken) {
			t.Errorf("got %v, want ErrBroken", err)
		}
		if _, err := p.Open(t.Context(), "e", "r", 1, 0); err != nil {
			t.Errorf("got %v on reconnecting to the engine, want nil", err)
		}
	})
}
