package trial_test

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"fulmarwick/internal/base/frame"

	"github.com/gorilla/websocket"
)

const (
	benchModel = "bench"
	benchDepth = 24
)

// clock is a stand-in engine that holds a whole model and answers at once. The
// text of each of its tokens is the time at which it left, so that a client in
// the same process can tell how long it was on its way.
type clock struct{ seq atomic.Uint64 }

func (c *clock) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/v1/engine", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(frame.Engine{
			Name: "clock", DataCentre: "klang", Kind: "h200", Layer: 1000, Slots: 1 << 12, Memory: benchDepth,
			Cache: 1 << 30, State: frame.StateLive, Seq: c.seq.Add(1),
			Holds: []frame.Hold{{Model: benchModel, Version: "1", Depth: benchDepth, To: benchDepth}},
		})
	})
	mux.HandleFunc("/v1/steps", c.steps)
	return mux
}

func (c *clock) steps(w http.ResponseWriter, req *http.Request) {
	up := websocket.Upgrader{ReadBufferSize: 64 << 10, WriteBufferSize: 64 << 10}
	ws, err := up.Upgrade(w, req, nil)
	if err != nil {
		return
	}
	defer func() { _ = ws.Close() }()
	out := make(chan *frame.Reply, 1024)
	done := make(chan struct{})
	defer close(done)
	go send(ws, out, done)
	for {
		_, data, err := ws.ReadMessage()
		if err != nil {
			return
		}
		for len(data) > 0 {
			s := &frame.Step{}
			if data, err = frame.NextStep(data, s); err != nil {
				return
			}
			if s.Verb != frame.VerbCancel {
				go run(s, out, done)
			}
		}
	}
}

func send(ws *websocket.Conn, out <-chan *frame.Reply, done <-chan struct{}) {
	for {
		select {
		case r := <-out:
			if r.Code == frame.CodeOK {
				r.Text = strconv.FormatInt(time.Now().UnixNano(), 10)
			}
			var data bytes.Buffer
			if frame.AppendReply(&data, r) != nil || ws.WriteMessage(websocket.BinaryMessage, data.Bytes()) != nil {
				return
			}
		case <-done:
			return
		}
	}
}

// run answers a run of tokens; the prompt takes one position. A prompt that ends in "gap=D" spaces them by D.
func run(s *frame.Step, out chan<- *frame.Reply, done <-chan struct{}) {
	var gap time.Duration
	if _, text, ok := strings.Cut(s.Text, "gap="); ok {
		gap, _ = time.ParseDuration(strings.TrimSpace(text))
	}
	for i := range max(1, s.Count) {
		if gap > 0 {
			time.Sleep(gap)
		}
		r := &frame.Reply{
			Req: s.Req, Try: s.Try, Seq: s.Seq + uint64(i), From: s.From,
			Pos: s.Pos + i, Next: s.Pos + i + 1, Token: 7, Index: i,
		}
		if i+1 == max(1, s.Count) {
			r.End, r.Total = true, i+1
		}
		select {
		case out <- r:
		case <-done:
			return
		}
	}
}

// serveClock starts the engine and returns its base URL.
func serveClock() *httptest.Server {
	c := &clock{}
	return httptest.NewServer(c.handler())
}
