package daemon_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"fulmarwick/internal/app/halt"
	"fulmarwick/internal/app/setup"
	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/fakes/inmem"
	"fulmarwick/internal/state/config"
	"fulmarwick/internal/state/ledger"
	"fulmarwick/internal/wire/chain"
	"fulmarwick/internal/wire/entry"

	"go.uber.org/zap"
)

// gated starts to answer model requests and calls, and completes them when its
// gate opens.
type gated struct{ gate chan struct{} }

func (g *gated) Run(ctx context.Context, _ chain.Job, sink chain.Sink) (chain.Result, error) {
	if err := sink(chain.Token{Text: "first "}); err != nil {
		return chain.Result{}, err
	}
	select {
	case <-g.gate:
	case <-ctx.Done():
		return chain.Result{}, ctx.Err()
	}
	return chain.Result{Tokens: 2}, sink(chain.Token{Index: 1, Text: "last"})
}

func (g *gated) Do(context.Context, ledger.Call) (ledger.Outcome, error) {
	<-g.gate
	return ledger.Outcome{}, ledger.ErrBodyMismatch
}

func (g *gated) Lookup(context.Context, spec.TeamID, spec.ClassName, string) (ledger.Outcome, error) {
	return ledger.Outcome{}, nil
}

// newStopping returns the server for callers of an instance, with all default
// time limits active, and its drainer.
func newStopping(g *gated) (*entry.Server, *halt.Drainer) {
	book := &config.Active{}
	book.SetIfNewer(snapshot())
	s := setup.Default()
	return &entry.Server{
		Models: g, Calls: g, Config: book, Log: zap.NewNop(),
		Limits: entry.Limits{
			Body: s.Limits.Body, Header: s.Limits.Header, Tokens: s.Limits.Tokens, Buffer: s.Limits.Buffer,
			HeaderTime: s.Times.Header, BodyTime: s.Times.Body, WriteTime: s.Times.Write, IdleTime: s.Times.Idle, CommentInterval: s.Times.Comment,
		},
	}, &halt.Drainer{Grace: s.Times.Grace, Log: zap.NewNop()}
}

// send posts to the instance and stores the whole answer in got.
func send(client *http.Client, path, body string, got *sync.Map) {
	req, _ := http.NewRequest(http.MethodPost, "http://in"+path, strings.NewReader(body))
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("Idempotency-Key", "k")
	resp, err := client.Do(req)
	if err != nil {
		got.Store(path, err.Error())
		return
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		data = append(data, "; cut: "+err.Error()...)
	}
	got.Store(path, string(data))
}

// The platform replaces an instance while a stream and a payment are in
// progress, over HTTP/1.1 and HTTP/2, and asks it twice to stop. Both requests
// take three hours, longer than any time limit in the settings. The callers
// must receive the whole stream with [DONE] and the answer of the payment. Only
// then may the instance end, without an error.
func TestStopCutsNeitherStreamNorCall(t *testing.T) {
	for _, http2 := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			g := &gated{gate: make(chan struct{})}
			callers, h := newStopping(g)
			listener := inmem.Listen()
			server := callers.HTTP(h.Handler(callers.Handler()), nil)
			go func() { _ = server.Serve(listener) }()
			ended := make(chan error, 1)
			go func() { ended <- h.Run(context.Background(), server) }()
			protocols := &http.Protocols{}
			protocols.SetHTTP1(!http2)
			protocols.SetUnencryptedHTTP2(http2)
			transport := &http.Transport{DialContext: listener.Dial, Protocols: protocols}
			client := &http.Client{Transport: transport}
			var got sync.Map
			var all sync.WaitGroup
			chat := `{"model":"levy-13b","stream":true,"messages":[{"role":"user","content":"x"}]}`
			all.Go(func() { send(client, "/v1/chat/completions", chat, &got) })
			all.Go(func() { send(client, "/v1/calls/payment", "{}", &got) })
			synctest.Wait()
			h.Begin()
			time.Sleep(time.Hour)
			h.CloseListeners()
			time.Sleep(2 * time.Hour)
			synctest.Wait()
			if h.Running() != 2 || len(ended) != 0 {
				t.Fatalf("got %d running after hours, want 2 and Run not returned", h.Running())
			}
			close(g.gate)
			all.Wait()
			if stream, _ := got.Load("/v1/chat/completions"); !strings.Contains(stream.(string), `"first "`) || !strings.HasSuffix(stream.(string), "data: [DONE]\n\n") {
				t.Errorf("got stream %q, want the whole stream", stream)
			}
			if call, _ := got.Load("/v1/calls/payment"); !strings.Contains(call.(string), "key-reused") {
				t.Errorf("got %q, want the call's own answer", call)
			}
			transport.CloseIdleConnections()
			if err := <-ended; err != nil {
				t.Errorf("got %v, want a clean end", err)
			}
		})
	}
}
