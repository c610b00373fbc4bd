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

// eventStream writes an answer as server-sent events. The status line is sent with
// the first token, so that a refusal before it can have its own status.
type eventStream struct {
	server  *Server
	w       http.ResponseWriter
	request *chatRequest
	cancel  context.CancelCauseFunc
	prefix  *prefixChecker
	out     *streamWriter
	// chunkHead and chunkTail are the parts of each chunk before and after its
	// choice.
	chunkHead string
	chunkTail string
	tokenText string
	sendRole  bool
}

// streamChat runs a chat request and streams the answer.
func (s *Server) streamChat(w http.ResponseWriter, req *http.Request, chat *chatRequest) {
	ctx, cancel := context.WithCancelCause(req.Context())
	defer cancel(nil)
	e := &eventStream{server: s, w: w, request: chat, cancel: cancel, prefix: newPrefixChecker(chat.resumeFrom), sendRole: chat.resumeFrom.count == 0}
	e.buildFrame()
	if chat.resumeFrom.count > 0 {
		s.meter.resumedStreams.Inc()
	}
	result, err := s.Models.Run(ctx, chat.job, e.onToken)
	if err == nil {
		err = e.prefix.checkEnd()
	}
	// If the request was canceled because writing to the caller failed, report
	// that as the cause, whatever error Run returned.
	if cause := context.Cause(ctx); errors.Is(cause, errCallerGone) {
		err = cause
	}
	err = e.finish(result, err)
	s.recordChat(req, chat, result, callerFault(err))
	switch {
	case errors.Is(err, errCallerSlow):
		s.meter.slowCallers.Inc()
		// Abort the connection without ending the stream, so that no client
		// takes the answer for complete. The id of the last event resumes it.
		panic(http.ErrAbortHandler)
	case errors.Is(err, errCallerGone):
		s.meter.goneCallers.Inc()
		panic(http.ErrAbortHandler)
	}
}

// callerFault converts the errors of streamWriter to faults for logs and metrics.
func callerFault(err error) error {
	switch {
	case errors.Is(err, errCallerSlow):
		return newFault(statusCallerGone, "caller-slow", "The caller read more slowly than its answer was made.", RanYes)
	case errors.Is(err, errCallerGone):
		return newFault(statusCallerGone, "caller-gone", "The caller went away.", RanYes)
	}
	return err
}

// buildFrame prepares the parts that are the same in all chunks.
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

// onToken handles the next token from the chain. It runs once per token and does
// not allocate.
func (e *eventStream) onToken(t chain.Token) error {
	e.request.timings.markToken()
	isNew, err := e.prefix.add(t.Text)
	if err != nil || !isNew {
		return err
	}
	e.start()
	e.tokenText = t.Text
	return e.out.push(e.appendChunk)
}

// appendChunk appends the event of the current token.
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

// start sets the response headers and starts the writer, once.
func (e *eventStream) start() {
	if e.out != nil {
		return
	}
	h := e.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-cache")
	// A buffering proxy would deliver the whole stream at once at the end.
	h.Set("X-Accel-Buffering", "no")
	e.out = newStreamWriter(e.w, e.server.Limits, e.cancel)
}

// finish ends the stream and returns the error with which it ended. An error
// before the first token is sent as a plain error response. A later one is sent
// as an event without [DONE], so that clients never take a truncated answer for
// complete.
func (e *eventStream) finish(result chain.Result, err error) error {
	if err != nil && e.out == nil {
		if !errors.Is(err, errCallerGone) {
			e.server.writeFault(e.w, err)
		}
		return err
	}
	e.start()
	var pushErr error
	switch {
	case err == nil:
		pushErr = e.out.push(func(b []byte) []byte { return e.appendEnd(b, result) })
	case !errors.Is(err, errCallerSlow) && !errors.Is(err, errCallerGone):
		_ = e.out.push(func(b []byte) []byte { return appendFaultEvent(b, err) })
	}
	if writeErr := e.out.finish(); writeErr != nil {
		return writeErr
	}
	if err == nil {
		err = pushErr
	}
	return err
}

// appendEnd appends the final events of a complete answer.
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

// appendFaultEvent appends err as an event.
func appendFaultEvent(b []byte, err error) []byte {
	data, marshalErr := json.Marshal(toFault(err).body())
	if marshalErr != nil {
		return b
	}
	b = append(b, "data: "...)
	b = append(b, data...)
	return append(b, "\n\n"...)
}
