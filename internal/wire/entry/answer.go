package entry

import (
	"net/http"
	"strings"
	"time"

	"fulmarwick/internal/wire/chain"

	"go.uber.org/zap"
)

// The JSON of a chat completion that is not streamed, as published by the
// chat completions API.
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

// answerID returns the completion id that callers see.
func answerID(p Position) string { return "chatcmpl-" + p.answer.String() }

// completeChat runs a chat request and writes the whole answer at once.
func (s *Server) completeChat(w http.ResponseWriter, req *http.Request, chat *chatRequest) {
	var text strings.Builder
	result, err := s.Models.Run(req.Context(), chat.job, func(t chain.Token) error {
		chat.timings.markToken()
		text.WriteString(t.Text)
		return nil
	})
	s.recordChat(req, chat, result, err)
	if err != nil {
		s.writeFault(w, err)
		return
	}
	s.writeJSON(w, http.StatusOK, chatAnswer{
		ID: answerID(chat.resumeFrom), Object: "chat.completion", Created: time.Now().Unix(), Model: string(chat.class.Model()),
		Choices: []chatChoice{{Message: answerMessage{Role: "assistant", Content: text.String()}, Finish: finishReason(result)}},
		Usage:   usage(chat, result),
	})
}

// recordChat records the end of a request that ran in the metrics, the log, the
// span and the Observer.
func (s *Server) recordChat(req *http.Request, chat *chatRequest, result chain.Result, err error) {
	chat.timings.markEnd()
	code := "ok"
	if err != nil {
		code = toFault(err).Code
		s.Log.Info("entry: request failed",
			zap.String("request", string(chat.job.Arrived.Request)), zap.String("code", code), zap.Error(err))
	}
	s.meter.countRequest(chat.class.Name(), code)
	s.meter.countAnswer(chat.class.Name(), result.Tokens, chat.timings)
	annotateSpan(req, chat.class.Name(), result.Tokens, err)
	// Requests whose caller disconnected are left out, because they are no
	// measure of how well the class is served.
	if s.Observer != nil && req.Context().Err() == nil {
		s.Observer.Served(chat.class, chat.timings.first, chat.timings.gap, chat.timings.whole, err == nil)
	}
}

func finishReason(r chain.Result) string {
	if r.Stop {
		return "stop"
	}
	return "length"
}

func usage(chat *chatRequest, r chain.Result) chatUsage {
	return chatUsage{Prompt: chat.job.Arrived.PromptTokens, Completion: r.Tokens, Total: chat.job.Arrived.PromptTokens + r.Tokens}
}
