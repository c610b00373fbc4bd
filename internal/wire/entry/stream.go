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

// eventStream writes an answer as server-sent events. The status line waits for
// the first token, so that a refusal keeps its own status.
type eventStream struct {
	server  *Server
	w       http.ResponseWriter
	request *chatRequest
	cancel  context.CancelCauseFunc
	prefix  *prefixChecker
	out     *streamWriter
	// chunkHead and tail stand around the text of each token.
	chunkHead string
	chunkTail string
	tokenText string
	sendRole  bool
}

func (s *Server) streamChat(w http.ResponseWriter, req *http.Request, a *chatRequest) {
	ctx, stop := context.WithCancelCause(req.Context())
	defer stop(nil)
	e := &eventStream{server: s, w: w, request: a, cancel: stop, prefix: newPrefixChecker(a.resumeFrom), sendRole: a.resumeFrom.count == 0}
	e.buildFrame()
	if a.resumeFrom.count > 0 {
		s.meter.resumedStreams.Inc()
	}
	result, err := s.Models.Run(ctx, a.job, e.onToken)
	if err == nil {
		err = e.prefix.checkEnd()
	}
	// An answer that stops because its caller cannot be written to is the
	// caller's doing, whatever error comes back through the layers.
	if cause := context.Cause(ctx); errors.Is(cause, errCallerGone) {
		err = cause
	}
	err = e.finish(result, err)
	s.recordChat(req, a, result, callerFault(err))
	switch {
	case errors.Is(err, errCallerSlow):
		s.meter.slowCallers.Inc()
		// The connection is cut without its ending, so that no client takes
		// the stream for whole. The last event's id resumes it.
		panic(http.ErrAbortHandler)
	case errors.Is(err, errCallerGone):
		s.meter.goneCallers.Inc()
		panic(http.ErrAbortHandler)
	}
}

// callerFault turns the writer's errors into what logs and metrics show.
func callerFault(err error) error {
	switch {
	case errors.Is(err, errCallerSlow):
		return newFault(statusCallerGone, "caller-slow", "The caller read more slowly than its answer was made.", RanYes)
	case errors.Is(err, errCallerGone):
		return newFault(statusCallerGone, "caller-gone", "The caller went away.", RanYes)
	}
	return err
}

// buildFrame makes the parts that are alike in all chunks.
func (e *eventStream) buildFrame() {
	var b []byte
	b = append(b, `data: {"id":`...)
	b = appendString(b, answerID(e.request.resumeFrom))
	b = append(b, `,"object":"chat.completion.chunk","created":`...)
	b = strconv.AppendInt(b, time.Now().Unix(), 10)
	b = append(b, `,"model":`...)
	b = appendString(b, string(e.request.class.Model()))
	b = append(b, `,"choices":[`...)
	e.chunkHead = string(b)
	e.chunkTail = "}\n\n"
	if e.request.includeUsage {
		e.chunkTail = `,"usage":null}` + "\n\n"
	}
}

// onToken takes the next token from the chain. It runs once per token and takes
// no memory.
func (e *eventStream) onToken(t chain.Token) error {
	e.request.timings.markToken()
	fresh, err := e.prefix.add(t.Text)
	if err != nil || !fresh {
		return err
	}
	e.start()
	e.tokenText = t.Text
	return e.out.push(e.appendChunk)
}

func (e *eventStream) appendChunk(b []byte) []byte {
	b = append(b, "id: "...)
	b = e.request.sealer.Append(b, e.prefix.position())
	b = append(b, '\n')
	b = append(b, e.chunkHead...)
	b = append(b, `{"index":0,"delta":{`...)
	if e.sendRole {
		e.sendRole = false
		b = append(b, `"role":"assistant",`...)
	}
	b = append(b, `"content":`...)
	b = appendString(b, e.tokenText)
	b = append(b, `},"finish_reason":null}]`...)
	return append(b, e.chunkTail...)
}

func (e *eventStream) start() {
	if e.out != nil {
		return
	}
	h := e.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-cache")
	// Proxies that gather answers would turn the stream into one late piece.
	h.Set("X-Accel-Buffering", "no")
	e.out = newStreamWriter(e.w, e.server.Limits, e.cancel)
}

// finish ends the stream and returns how: as a whole answer, as a plain error
// before the first token, or as an event without [DONE], so that a cut answer
// never looks whole.
func (e *eventStream) finish(result chain.Result, err error) error {
	if err != nil && e.out == nil {
		if !errors.Is(err, errCallerGone) {
			e.server.writeFault(e.w, err)
		}
		return err
	}
	e.start()
	var last error
	switch {
	case err == nil:
		last = e.out.push(func(b []byte) []byte { return e.appendEnd(b, result) })
	case !errors.Is(err, errCallerSlow) && !errors.Is(err, errCallerGone):
		_ = e.out.push(func(b []byte) []byte { return appendFaultEvent(b, err) })
	}
	if wrote := e.out.finish(); wrote != nil {
		return wrote
	}
	if err == nil {
		err = last
	}
	return err
}

func (e *eventStream) appendEnd(b []byte, result chain.Result) []byte {
	b = append(b, e.chunkHead...)
	b = append(b, `{"index":0,"delta":{},"finish_reason":`...)
	b = appendString(b, finishReason(result))
	b = append(b, "}]"...)
	b = append(b, e.chunkTail...)
	if e.request.includeUsage {
		u := usage(e.request, result)
		b = append(b, e.chunkHead...)
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

func appendFaultEvent(b []byte, err error) []byte {
	data, failed := json.Marshal(toFault(err).body())
	if failed != nil {
		return b
	}
	b = append(b, "data: "...)
	b = append(b, data...)
	return append(b, "\n\n"...)
}
