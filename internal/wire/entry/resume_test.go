package entry_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"fulmarwick/internal/wire/chain"
	"fulmarwick/internal/wire/entry"
)

// event is one server-sent event as a client sees it.
type event struct {
	id   string
	data string
}

// parseEvents parses a stream. Like any client, it ignores a truncated event, which
// lacks the empty line at its end.
func parseEvents(stream string) []event {
	var out []event
	blocks := strings.Split(stream, "\n\n")
	for _, b := range blocks[:len(blocks)-1] {
		var e event
		for _, line := range strings.Split(b, "\n") {
			if v, ok := strings.CutPrefix(line, "id: "); ok {
				e.id = v
			}
			if v, ok := strings.CutPrefix(line, "data: "); ok {
				e.data = v
			}
		}
		out = append(out, e)
	}
	return out
}

// eventText returns the text of the answer in events.
func eventText(events []event) string {
	var b strings.Builder
	for _, e := range events {
		var chunk struct {
			Choices []struct{ Delta struct{ Content string } }
		}
		if json.Unmarshal([]byte(e.data), &chunk) == nil && len(chunk.Choices) > 0 {
			b.WriteString(chunk.Choices[0].Delta.Content)
		}
	}
	return b.String()
}

// resumeChat posts a chat request with the given key and Last-Event-ID.
func resumeChat(s *entry.Server, bearer, id, body string) *httptest.ResponseRecorder {
	req := request("/v1/chat/completions", body)
	req.Header.Set("Authorization", "Bearer "+bearer)
	req.Header.Set("Last-Event-ID", id)
	return serve(s, req)
}

var words = []string{"one ", "two ", "three ", "four ", "five "}

// The caller's instance crashes after any token. The caller sends the request to
// another instance with the last event id. It must get the rest of the answer
// under the same completion id: no token twice, none missing, [DONE] at the end.
func TestResumeOnAnotherInstance(t *testing.T) {
	first := parseEvents(postChat(newServer(&fakeModels{words: words}), chatBody).Body.String())
	for n := 1; n <= len(words); n++ {
		var job chain.Job
		second := newServer(&fakeModels{words: words, onJob: func(_ context.Context, j chain.Job) { job = j }})
		rest := parseEvents(resumeChat(second, firstKey, first[n-1].id, chatBody).Body.String())
		if got, want := eventText(first[:n])+eventText(rest), strings.Join(words, ""); got != want {
			t.Errorf("got %q after a break at %d, want %q", got, n, want)
		}
		if got := rest[len(rest)-1].data; got != "[DONE]" {
			t.Errorf("got last event %q, want [DONE]", got)
		}
		if job.Arrived.ReceivedTokens != n {
			t.Errorf("got ReceivedTokens %d, want %d", job.Arrived.ReceivedTokens, n)
		}
		if strings.Contains(first[0].data, string(job.Arrived.Request)) {
			t.Errorf("got the same request id as the first request, want a new one")
		}
		if got, want := answerID(t, rest[0]), answerID(t, first[0]); got != want {
			t.Errorf("got answer id %s, want %s", got, want)
		}
	}
}

// answerID returns the completion id in an event.
func answerID(t *testing.T, e event) string {
	t.Helper()
	var chunk struct{ ID string }
	if err := json.Unmarshal([]byte(e.data), &chunk); err != nil {
		t.Fatal(err)
	}
	return chunk.ID
}

// The regenerated answer differs from the part that the caller has, or is shorter.
// The caller must get resume-differs and no token. Otherwise the joined parts
// would be an answer that no model generated.
func TestResumeOfADifferentAnswer(t *testing.T) {
	first := parseEvents(postChat(newServer(&fakeModels{words: words}), chatBody).Body.String())
	for _, other := range [][]string{{"one ", "deux ", "three ", "four "}, {"one ", "two "}} {
		w := resumeChat(newServer(&fakeModels{words: other}), firstKey, first[2].id, chatBody)
		wantFault(t, w, http.StatusConflict, "resume-differs")
		if strings.Contains(w.Body.String(), "four") {
			t.Errorf("got %q, want no token", w.Body)
		}
	}
}

// Event ids that were modified, forged, or issued to another team or for another
// body must be rejected with bad-resume. Otherwise a caller could get the end of
// another team's answer or make the router skip tokens.
func TestForgedResumeTokens(t *testing.T) {
	id := parseEvents(postChat(newServer(&fakeModels{words: words}), chatBody).Body.String())[2].id
	for i := range id {
		changed := []byte(id)
		changed[i] ^= 1
		wantFault(t, resumeChat(newServer(&fakeModels{words: words}), firstKey, string(changed), chatBody), http.StatusBadRequest, "bad-resume")
	}
	whole := strings.Replace(chatBody, "true", "false", 1)
	tests := []struct{ name, bearer, id, body string }{
		{"other team", secondKey, id, chatBody},
		{"other prompt", firstKey, id, strings.Replace(chatBody, "hi", "ho", 1)},
		{"other limit", firstKey, id, strings.Replace(chatBody, `"stream"`, `"max_tokens":50,"stream"`, 1)},
		{"shorter", firstKey, id[:len(id)-1], chatBody},
		{"longer", firstKey, id + "A", chatBody},
		{"empty base64", firstKey, "====", chatBody},
		{"not a stream", firstKey, id, whole},
	}
	for _, tt := range tests {
		ran := false
		s := newServer(&fakeModels{words: words, onJob: func(context.Context, chain.Job) { ran = true }})
		wantFault(t, resumeChat(s, tt.bearer, tt.id, tt.body), http.StatusBadRequest, "bad-resume")
		if ran {
			t.Errorf("%s: got it run, want it rejected before", tt.name)
		}
	}
}

func FuzzResumeToken(f *testing.F) {
	sealer := entry.NewSealer(firstKey, 7)
	f.Add(string(sealer.Append(nil, entry.Position{})))
	f.Add("AQAAAAE")
	f.Add(strings.Repeat("A", 60))
	f.Fuzz(func(t *testing.T, token string) {
		p, ok := sealer.Parse(token)
		if !ok {
			return
		}
		if got := string(sealer.Append(nil, p)); got != token || p.Count() < 1 {
			t.Errorf("got %q and count %d from %q, want it back", got, p.Count(), token)
		}
	})
}
