package entry

import (
	"net/http"
	"strings"
	"time"

	"fulmarwick/internal/wire/chain"

	"go.uber.org/zap"
)

// The published shapes of an answer that is not streamed.
type (
	chatAnswer struct {
		ID      string       `json:"id"`
		Object  string       `json:"object"`
		Created int64        `json:"created"`
		Model   string       `json:"model"`
		Choices []chatChoice `json:"choices"`
		Usage   chatUsage    `json:"usage"`
	}
	chatChoice struct {
		Index   int        `json:"index"`
		Message answerText `json:"message"`
		Finish  string     `json:"finish_reason"`
	}
	answerText struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	}
	chatUsage struct {
		Prompt     int `json:"prompt_tokens"`
		Completion int `json:"completion_tokens"`
		Total      int `json:"total_tokens"`
	}
)

// answerID is the id under which callers know an answer.
func answerID(p Position) string { return "chatcmpl-" + p.answer.String() }

func (s *Server) whole(w http.ResponseWriter, req *http.Request, a *ask) {
	var text strings.Builder
	result, err := s.Models.Run(req.Context(), a.job, func(t chain.Token) error {
		a.times.token()
		text.WriteString(t.Text)
		return nil
	})
	s.ended(req, a, result, err)
	if err != nil {
		s.fault(w, err)
		return
	}
	s.replyJSON(w, http.StatusOK, chatAnswer{
		ID: answerID(a.from), Object: "chat.completion", Created: time.Now().Unix(), Model: string(a.class.Model()),
		Choices: []chatChoice{{Message: answerText{Role: "assistant", Content: text.String()}, Finish: finishReason(result)}},
		Usage:   usage(a, result),
	})
}

// ended counts a request that ran and tells its end to whoever wants to know.
func (s *Server) ended(req *http.Request, a *ask, result chain.Result, err error) {
	a.times.end()
	code := "ok"
	if err != nil {
		code = faultOf(err).Code
		s.Log.Info("entry: request failed",
			zap.String("request", string(a.job.Arrived.Request)), zap.String("code", code), zap.Error(err))
	}
	s.meter.ended(a.class.Name(), code)
	s.meter.answered(a.class.Name(), result.Tokens, a.times)
	noted(req, a.class.Name(), result.Tokens, err)
	// A caller that left says nothing about how the class is served.
	if s.Observer != nil && req.Context().Err() == nil {
		s.Observer.Served(a.class, a.times.first, a.times.gap, a.times.whole, err == nil)
	}
}

func finishReason(r chain.Result) string {
	if r.Stop {
		return "stop"
	}
	return "length"
}

func usage(a *ask, r chain.Result) chatUsage {
	return chatUsage{Prompt: a.job.Arrived.PromptTokens, Completion: r.Tokens, Total: a.job.Arrived.PromptTokens + r.Tokens}
}
