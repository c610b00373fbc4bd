// Package clock is a stand-in engine that holds a whole model and answers at
// once. The text of each token is the time at which the engine sent it, so that a
// client in the same process can compute its latency.
//
// It imports base/frame and the WebSocket library. Benchmarks of the router run
// it.
package clock

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"fulmarwick/internal/base/frame"

	"github.com/gorilla/websocket"
)

const (
	// Model is the model that the engine holds.
	Model = "bench"
	depth = 24
	// The capacity that the engine reports: large enough to never limit a
	// benchmark.
	layerTime = time.Microsecond
	slots     = 1 << 12
	cache     = 1 << 30
	// replyQueue is how many replies can wait for the connection.
	replyQueue = 1024
)

// Engine is the stand-in engine. The zero value is ready to use.
type Engine struct{ seq atomic.Uint64 }

// Handler returns a handler of the part of the engine protocol that the router uses
// with this engine.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/v1/engine", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(frame.Engine{
			Name: "clock", DataCentre: "klang", Kind: "h200", Layer: int64(layerTime), Slots: slots, Memory: depth,
			Cache: cache, State: frame.StateLive, Seq: e.seq.Add(1),
			Holds: []frame.LoadedLayers{{Model: Model, Version: "1", Depth: depth, To: depth}},
		})
	})
	mux.HandleFunc("/v1/steps", e.steps)
	return mux
}

func (e *Engine) steps(w http.ResponseWriter, req *http.Request) {
	upgrader := websocket.Upgrader{ReadBufferSize: 64 << 10, WriteBufferSize: 64 << 10}
	ws, err := upgrader.Upgrade(w, req, nil)
	if err != nil {
		return
	}
	defer func() { _ = ws.Close() }()
	replies := make(chan *frame.Reply, replyQueue)
	done := make(chan struct{})
	defer close(done)
	go writeReplies(ws, replies, done)
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
				go runStep(s, replies, done)
			}
		}
	}
}

func writeReplies(ws *websocket.Conn, replies <-chan *frame.Reply, done <-chan struct{}) {
	for {
		select {
		case r := <-replies:
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

// runStep replies with the tokens that a step requests; the prompt takes one
// position. A prompt that ends in "gap=D" spaces the tokens by D.
func runStep(s *frame.Step, replies chan<- *frame.Reply, done <-chan struct{}) {
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
		case replies <- r:
		case <-done:
			return
		}
	}
}
