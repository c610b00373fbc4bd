package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"fulmarwick/internal/wire/chain"

	"github.com/go-faster/errors"
)

// events writes an answer as server-sent events. The status line waits for
// the first token, so that a refusal keeps its own status.
type events struct {
	server *Server
	w      http.ResponseWriter
	ask    *ask
	stop   context.CancelCauseFunc
	follow *follow
	out    *writer
	// head and tail stand around the text of each token.
	head string
	tail string
	text string
	role bool
}

func (s *Server) stream(w http.ResponseWriter, req *http.Request, a *ask) {
	ctx, stop := context.WithCancelCause(req.Context())
	defer stop(nil)
	e := &events{server: s, w: w, ask: a, stop: stop, follow: newFollow(a.from), role: a.from.count == 0}
	e.frame()
	if a.from.count > 0 {
		s.meter.resumed.Inc()
	}
	result, err := s.Models.Run(ctx, a.job, e.token)
	if err == nil {
		err = e.follow.end()
	}
	// An answer that stops because its caller cannot be written to is the
	// caller's doing, whatever error comes back through the layers.
	if cause := context.Cause(ctx); errors.Is(cause, errGone) {
		err = cause
	}
	err = e.close(result, err)
	s.ended(req, a, result, cutError(err))
	switch {
	case errors.Is(err, errSlow):
		s.meter.slow.Inc()
		// The connection is cut without its ending, so that no client takes
		// the stream for whole. The last event's id resumes it.
		panic(http.ErrAbortHandler)
	case errors.Is(err, errGone):
		s.meter.gone.Inc()
		panic(http.ErrAbortHandler)
	}
}

// cutError turns the writer's errors into what logs and metrics show.
func cutError(err error) error {
	switch {
	case errors.Is(err, errSlow):
		return newFault(statusGone, "caller-slow", "The caller read more slowly than its answer was made.", RanYes)
	case errors.Is(err, errGone):
		return newFault(statusGone, "caller-gone", "The caller went away.", RanYes)
	}
	return err
}

// frame makes the parts that are alike in all chunks.
func (e *events) frame() {
	var b []byte
	b = append(b, `data: {"id":`...)
	b = appendString(b, answerID(e.ask.from))
	b = append(b, `,"object":"chat.completion.chunk","created":`...)
	b = strconv.AppendInt(b, time.Now().Unix(), 10)
	b = append(b, `,"model":`...)
	b = appendString(b, string(e.ask.class.Model()))
	b = append(b, `,"choices":[`...)
	e.head = string(b)
	e.tail = "}\n\n"
	if e.ask.usage {
		e.tail = `,"usage":null}` + "\n\n"
	}
}

// token takes the next token from the chain. It runs once per token and takes
// no memory.
func (e *events) token(t chain.Token) error {
	e.ask.times.token()
	fresh, err := e.follow.take(t.Text)
	if err != nil || !fresh {
		return err
	}
	e.begin()
	e.text = t.Text
	return e.out.push(e.chunk)
}

func (e *events) chunk(b []byte) []byte {
	b = append(b, "id: "...)
	b = e.ask.sealer.Append(b, e.follow.now())
	b = append(b, '\n')
	b = append(b, e.head...)
	b = append(b, `{"index":0,"delta":{`...)
	if e.role {
		e.role = false
		b = append(b, `"role":"assistant",`...)
	}
	b = append(b, `"content":`...)
	b = appendString(b, e.text)
	b = append(b, `},"finish_reason":null}]`...)
	return append(b, e.tail...)
}

func (e *events) begin() {
	if e.out != nil {
		return
	}
	h := e.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-cache")
	// Proxies that gather answers would turn the stream into one late piece.
	h.Set("X-Accel-Buffering", "no")
	e.out = newWriter(e.w, e.server.Limits, e.stop)
}

// close ends the stream and returns how: as a whole answer, as a plain error
// before the first token, or as an event without [DONE], so that a cut answer
// never looks whole.
func (e *events) close(result chain.Result, err error) error {
	if err != nil && e.out == nil {
		if !errors.Is(err, errGone) {
			e.server.fault(e.w, err)
		}
		return err
	}
	e.begin()
	var last error
	switch {
	case err == nil:
		last = e.out.push(func(b []byte) []byte { return e.end(b, result) })
	case !errors.Is(err, errSlow) && !errors.Is(err, errGone):
		_ = e.out.push(func(b []byte) []byte { return faultEvent(b, err) })
	}
	if wrote := e.out.finish(); wrote != nil {
		return wrote
	}
	if err == nil {
		err = last
	}
	return err
}

func (e *events) end(b []byte, result chain.Result) []byte {
	b = append(b, e.head...)
	b = append(b, `{"index":0,"delta":{},"finish_reason":`...)
	b = appendString(b, finishReason(result))
	b = append(b, "}]"...)
	b = append(b, e.tail...)
	if e.ask.usage {
		u := usage(e.ask, result)
		b = append(b, e.head...)
		b = append(b, `],"usage":{"prompt_tokens":`...)
		b = strconv.AppendInt(b, int64(u.Prompt), 10)
		b = append(b, `,"completion_tokens":`...)
		b = strconv.AppendInt(b, int64(u.Completion), 10)
		b = append(b, `,"total_tokens":`...)
		b = strconv.AppendInt(b, int64(u.Total), 10)
		b = append(b, "}}\n\n"...)
	}
	return append(b, "data: [DONE]\n\n"...)
}

func faultEvent(b []byte, err error) []byte {
	data, failed := json.Marshal(faultOf(err).body())
	if failed != nil {
		return b
	}
	b = append(b, "data: "...)
	b = append(b, data...)
	return append(b, "\n\n"...)
}
