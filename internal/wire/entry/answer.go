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
		Index   int           `json:"index"`
		Message answerMessage `json:"message"`
		Finish  string        `json:"finish_reason"`
	}
	answerMessage struct {
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

func (s *Server) completeChat(w http.ResponseWriter, req *http.Request, a *chatRequest) {
	var text strings.Builder
	result, err := s.Models.Run(req.Context(), a.job, func(t chain.Token) error {
		a.timings.markToken()
		text.WriteString(t.Text)
		return nil
	})
	s.recordChat(req, a, result, err)
	if err != nil {
		s.writeFault(w, err)
		return
	}
	s.writeJSON(w, http.StatusOK, chatAnswer{
		ID: answerID(a.resumeFrom), Object: "chat.completion", Created: time.Now().Unix(), Model: string(a.class.Model()),
		Choices: []chatChoice{{Message: answerMessage{Role: "assistant", Content: text.String()}, Finish: finishReason(result)}},
		Usage:   usage(a, result),
	})
}

// recordChat counts a request that ran and tells its end to whoever wants to know.
func (s *Server) recordChat(req *http.Request, a *chatRequest, result chain.Result, err error) {
	a.timings.markEnd()
	code := "ok"
	if err != nil {
		code = toFault(err).Code
		s.Log.Info("entry: request failed",
			zap.String("request", string(a.job.Arrived.Request)), zap.String("code", code), zap.Error(err))
	}
	s.meter.countRequest(a.class.Name(), code)
	s.meter.countAnswer(a.class.Name(), result.Tokens, a.timings)
	annotateSpan(req, a.class.Name(), result.Tokens, err)
	// A caller that left says nothing about how the class is served.
	if s.Observer != nil && req.Context().Err() == nil {
		s.Observer.Served(a.class, a.timings.first, a.timings.gap, a.timings.whole, err == nil)
	}
}

func finishReason(r chain.Result) string {
	if r.Stop {
		return "stop"
	}
	return "length"
}

func usage(a *chatRequest, r chain.Result) chatUsage {
	return chatUsage{Prompt: a.job.Arrived.PromptTokens, Completion: r.Tokens, Total: a.job.Arrived.PromptTokens + r.Tokens}
}
