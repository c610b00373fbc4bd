package entry_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"regexp"
	"strings"
	"testing"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/wire/chain"
	"fulmarwick/internal/wire/entry"

	"pgregory.net/rapid"
)

func TestAnswerHasPublishedShape(t *testing.T) {
	w := postChat(newServer(&fakeModels{words: []string{"a ", `"b"`}}), strings.Replace(chatBody, "true", "false", 1))
	var got struct {
		ID      string
		Object  string
		Model   string
		Choices []struct {
			Message struct{ Role, Content string }
			Finish  string `json:"finish_reason"`
		}
		Usage struct {
			Completion int `json:"completion_tokens"`
		}
	}
	if err := json.Unmarshal(w.Body.Bytes(), &got); err != nil {
		t.Fatal(err)
	}
	if got.Object != "chat.completion" || got.Model != "m" || !strings.HasPrefix(got.ID, "chatcmpl-") || len(got.Choices) != 1 {
		t.Fatalf("got %s, want a chat.completion of model m with one choice", w.Body)
	}
	c := got.Choices[0]
	if c.Message.Role != "assistant" || c.Message.Content != `a "b"` || c.Finish != "stop" || got.Usage.Completion != 2 {
		t.Errorf("got %+v, want the words of the model and their count", got)
	}
	if w.Header().Get("X-Request-Id") == "" {
		t.Errorf("got no X-Request-Id, want one")
	}
}

// varying matches the parts of a stream that differ between runs.
var varying = regexp.MustCompile(`id: \S+\n|"id":"chatcmpl-[^"]*"|"created":\d+`)

func TestStreamHasPublishedShape(t *testing.T) {
	body := strings.Replace(chatBody, `"stream":true`, `"stream":true,"stream_options":{"include_usage":true}`, 1)
	w := postChat(newServer(&fakeModels{words: []string{"a\n", "b"}}), body)
	got := varying.ReplaceAllString(w.Body.String(), "~")
	head := `data: {~,"object":"chat.completion.chunk",~,"model":"m","choices":[`
	want := "~" + head + `{"index":0,"delta":{"role":"assistant","content":"a\n"},"finish_reason":null}],"usage":null}` + "\n\n" +
		"~" + head + `{"index":0,"delta":{"content":"b"},"finish_reason":null}],"usage":null}` + "\n\n" +
		head + `{"index":0,"delta":{},"finish_reason":"stop"}],"usage":null}` + "\n\n" +
		head + `],"usage":{"prompt_tokens":3,"completion_tokens":2,"total_tokens":5}}` + "\n\n" +
		"data: [DONE]\n\n"
	if got != want {
		t.Errorf("got\n%s\nwant\n%s", got, want)
	}
	if got := w.Header().Get("Content-Type"); got != "text/event-stream" {
		t.Errorf("got Content-Type %q, want text/event-stream", got)
	}
}

// The engines fail after the first tokens were sent. The status line has already
// been sent, so the caller must get an error event and no [DONE]. Otherwise a
// client would take the partial answer for complete.
func TestFailureMidwayNeverLooksWhole(t *testing.T) {
	m := &fakeModels{words: []string{"a"}, err: &chain.RefusedError{Ran: true}}
	w := postChat(newServer(m), chatBody)
	got := w.Body.String()
	if strings.Contains(got, "[DONE]") || !strings.Contains(got, `data: {"error":{"code":"none"`) {
		t.Errorf("got %q, want an error event and no [DONE]", got)
	}
}

func TestContentAsStringOrParts(t *testing.T) {
	body := `{"model":"m","messages":[{"role":"system","content":"s"},{"role":"user","content":[{"type":"text","text":"a"},{"type":"text","text":"b"}]}],
		"n":1,"temperature":0,"top_p":1.0,"stop":null,"tools":[],"seed":7,"user":"u","response_format":{"type": "text"}}`
	var got string
	m := &fakeModels{onJob: func(_ context.Context, j chain.Job) { got = j.Text }}
	if w := postChat(newServer(m), body); w.Code != http.StatusOK {
		t.Fatalf("got %d %s, want 200", w.Code, w.Body)
	}
	if want := "system: s\nuser: ab\n"; got != want {
		t.Errorf("got prompt %q, want %q", got, want)
	}
}

func TestBadChatBodies(t *testing.T) {
	with := func(field string) string { return strings.Replace(chatBody, `"model"`, field+`,"model"`, 1) }
	message := func(m string) string { return `{"model":"m","messages":[` + m + `]}` }
	tests := []struct{ name, body, code string }{
		{"no JSON", `{"model":`, "bad-json"},
		{"no object", `[1]`, "bad-json"},
		{"no model", `{"messages":[{"role":"user","content":"a"}]}`, "no-model"},
		{"no messages", `{"model":"m"}`, "no-messages"},
		{"unknown model", strings.Replace(chatBody, `"m"`, `"x"`, 1), "unknown-model"},
		{"several answers", with(`"n":2`), "unsupported"},
		{"tools", with(`"tools":[{"type":"function"}]`), "unsupported"},
		{"temperature", with(`"temperature":0.7`), "unsupported"},
		{"stop", with(`"stop":["x"]`), "unsupported"},
		{"format", with(`"response_format":{"type":"json_object"}`), "unsupported"},
		{"unknown field", with(`"foo":1`), "unknown-field"},
		{"tokens", with(`"max_tokens":101`), "bad-tokens"},
		{"negative tokens", with(`"max_completion_tokens":-1`), "bad-tokens"},
		{"tokens as text", with(`"max_tokens":"5"`), "bad-field"},
		{"usage without stream", `{"model":"m","messages":[{"role":"user","content":"a"}],"stream_options":{"include_usage":true}}`, "bad-field"},
		{"role", message(`{"role":"tool","content":"a"}`), "bad-field"},
		{"no content", message(`{"role":"user"}`), "bad-field"},
		{"null content", message(`{"role":"user","content":null}`), "bad-field"},
		{"image", message(`{"role":"user","content":[{"type":"image_url","image_url":{"url":"x"}}]}`), "unsupported"},
		{"tool calls", message(`{"role":"assistant","content":"a","tool_calls":[{}]}`), "unsupported"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := postChat(newServer(&fakeModels{}), tt.body)
			if w.Code/100 != 4 || !strings.Contains(w.Body.String(), `"code":"`+tt.code+`"`) || !strings.Contains(w.Body.String(), `"ran":"no"`) {
				t.Errorf("got %d %s, want 4xx with code %s that did not run", w.Code, w.Body, tt.code)
			}
		})
	}
}

func TestClassOfARequest(t *testing.T) {
	for header, want := range map[string]spec.ClassName{"": "answer", "draft": "draft"} {
		var got spec.ClassName
		m := &fakeModels{onJob: func(_ context.Context, j chain.Job) { got = j.Arrived.Class }}
		req := request("/v1/chat/completions", chatBody)
		req.Header.Set("X-Class", header)
		serve(newServer(m), req)
		if got != want {
			t.Errorf("got class %q for header %q, want %q", got, header, want)
		}
	}
	for _, header := range []string{"none", "payment"} {
		req := request("/v1/chat/completions", chatBody)
		req.Header.Set("X-Class", header)
		wantFault(t, serve(newServer(&fakeModels{}), req), http.StatusBadRequest, "unknown-class")
	}
}

// checkString compares AppendString with encoding/json.
func checkString(t interface {
	Helper()
	Errorf(string, ...any)
}, text string,
) {
	t.Helper()
	var want strings.Builder
	e := json.NewEncoder(&want)
	e.SetEscapeHTML(false)
	_ = e.Encode(text)
	if got := string(entry.AppendString(nil, text)) + "\n"; got != want.String() {
		t.Errorf("got %q for %q, want %q", got, text, want.String())
	}
}

func TestStringsEncodeAsEncodingJSONDoes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		checkString(t, rapid.String().Draw(t, "text"))
		checkString(t, string(rapid.SliceOf(rapid.Byte()).Draw(t, "bytes")))
	})
}

func FuzzString(f *testing.F) {
	f.Add("a\x00\x1f\"\\<&>\u2028\u2029\xff\xe2\x80\ufffd\b\f\n\r\t\x7f")
	f.Fuzz(func(t *testing.T, text string) { checkString(t, text) })
}

func FuzzChatBody(f *testing.F) {
	f.Add(chatBody)
	f.Add(`{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"a"}]}],"n":null}`)
	f.Add(`{"model":"m","messages":[{"role":"user","content":[null,{}]}],"max_tokens":1e3}`)
	f.Fuzz(func(t *testing.T, body string) {
		var ran *chain.Job
		m := &fakeModels{words: []string{"a"}, onJob: func(_ context.Context, j chain.Job) { ran = &j }}
		w := httptest.NewRecorder()
		newServer(m).Handler().ServeHTTP(w, request("/v1/chat/completions", body))
		if (w.Code == http.StatusOK) != (ran != nil) {
			t.Errorf("got status %d and ran %v, want 200 only if it ran", w.Code, ran != nil)
		}
		if ran != nil && (ran.Arrived.MaxTokens < 1 || ran.Arrived.MaxTokens > 100 || ran.Text == "") {
			t.Errorf("got job %+v, want its limit in range and a prompt", ran)
		}
	})
}
