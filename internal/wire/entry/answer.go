package entry

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"fulmarwick/internal/wire/chain"

	"go.uber.org/zap"
)

// The published shapes of answers.
type (
	chatAnswer struct {
		ID      string       `json:"id"`
		Object  string       `json:"object"`
		Created int64        `json:"created"`
		Model   string       `json:"model"`
		Choices []chatChoice `json:"choices"`
		Usage   *chatUsage   `json:"usage,omitempty"`
	}
	chatChoice struct {
		Index   int          `json:"index"`
		Message *chatMessage `json:"message,omitempty"`
		Delta   *chatDelta   `json:"delta,omitempty"`
		Finish  *string      `json:"finish_reason"`
	}
	chatDelta struct {
		Role    string `json:"role,omitempty"`
		Content string `json:"content,omitempty"`
	}
	chatUsage struct {
		Prompt     int `json:"prompt_tokens"`
		Completion int `json:"completion_tokens"`
		Total      int `json:"total_tokens"`
	}
)

func (s *Server) whole(w http.ResponseWriter, req *http.Request, a ask) {
	var text strings.Builder
	result, err := s.Models.Run(req.Context(), a.job, func(t chain.Token) error {
		text.WriteString(t.Text)
		return nil
	})
	if err != nil {
		s.failed(a, err)
		faultOf(err).write(w)
		return
	}
	answer := shape(a, "chat.completion")
	finish := finishReason(result)
	answer.Choices = []chatChoice{{Message: &chatMessage{Role: "assistant", Content: text.String()}, Finish: &finish}}
	answer.Usage = usage(a, result)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(answer)
}

func (s *Server) stream(w http.ResponseWriter, req *http.Request, a ask) {
	out := &events{w: w, ask: a, follow: newFollow(a.resume)}
	out.follow.from.Request = string(a.job.Arrived.Request)
	result, err := s.Models.Run(req.Context(), a.job, out.token)
	if err != nil {
		s.failed(a, err)
		out.fault(faultOf(err))
		return
	}
	out.end(result)
}

func (s *Server) failed(a ask, err error) {
	s.Log.Info("entry: request failed", zap.String("request", string(a.job.Arrived.Request)), zap.Error(err))
}

// events writes an answer as server-sent events. The status line waits for
// the first token, so that a refusal keeps its own status.
type events struct {
	w      http.ResponseWriter
	ask    ask
	follow *follow
	begun  bool
}

func (e *events) token(t chain.Token) error {
	id, fresh, err := e.follow.take(t.Text)
	if err != nil || !fresh {
		return err
	}
	chunk := shape(e.ask, "chat.completion.chunk")
	chunk.Choices = []chatChoice{{Delta: &chatDelta{Role: "assistant", Content: t.Text}}}
	return e.send(id, chunk)
}

func (e *events) begin() {
	if e.begun {
		return
	}
	e.begun = true
	e.w.Header().Set("Content-Type", "text/event-stream")
	e.w.Header().Set("Cache-Control", "no-cache")
	e.w.WriteHeader(http.StatusOK)
}

func (e *events) send(id string, v any) error {
	e.begin()
	data, err := json.Marshal(v)
	if err != nil {
		return err
	}
	if id != "" {
		if _, err := fmt.Fprintf(e.w, "id: %s\n", id); err != nil {
			return err
		}
	}
	if _, err := fmt.Fprintf(e.w, "data: %s\n\n", data); err != nil {
		return err
	}
	return http.NewResponseController(e.w).Flush()
}

func (e *events) end(result chain.Result) {
	chunk := shape(e.ask, "chat.completion.chunk")
	finish := finishReason(result)
	chunk.Choices = []chatChoice{{Delta: &chatDelta{}, Finish: &finish}}
	chunk.Usage = usage(e.ask, result)
	if err := e.send("", chunk); err != nil {
		return
	}
	_, _ = fmt.Fprint(e.w, "data: [DONE]\n\n")
}

// fault ends the stream: as a plain error before the first token, else as an
// event, without [DONE], so that a cut answer never looks whole.
func (e *events) fault(f *FaultError) {
	if !e.begun {
		f.write(e.w)
		return
	}
	_ = e.send("", faultBody{Error: f})
}

func shape(a ask, object string) chatAnswer {
	return chatAnswer{
		ID: "chatcmpl-" + string(a.job.Arrived.Request), Object: object,
		Created: time.Now().Unix(), Model: string(a.job.Arrived.Model),
	}
}

func finishReason(r chain.Result) string {
	if r.Stop {
		return "stop"
	}
	return "length"
}

func usage(a ask, r chain.Result) *chatUsage {
	return &chatUsage{Prompt: a.job.Arrived.Prompt, Completion: r.Tokens, Total: a.job.Arrived.Prompt + r.Tokens}
}
