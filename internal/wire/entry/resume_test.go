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

// parse reads a stream; an event without its empty line was cut and counts
// for nothing, as with any client.
func parse(stream string) []event {
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

func text(events []event) string {
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

func resume(s *entry.Server, bearer, id, body string) *httptest.ResponseRecorder {
	req := request("/v1/chat/completions", body)
	req.Header.Set("Authorization", "Bearer "+bearer)
	req.Header.Set("Last-Event-ID", id)
	return serve(s, req)
}

var words = []string{"one ", "two ", "three ", "four ", "five "}

// The caller's instance dies after any token. The caller sends the request to
// another with the last id it has and sees the rest of the answer under the
// same answer id: no token twice, none missing, [DONE] at the end.
func TestResumeOnAnotherInstance(t *testing.T) {
	first := parse(chat(newServer(&models{words: words}), ask).Body.String())
	for n := 1; n <= len(words); n++ {
		var job chain.Job
		second := newServer(&models{words: words, seen: func(_ context.Context, j chain.Job) { job = j }})
		rest := parse(resume(second, key, first[n-1].id, ask).Body.String())
		if got, want := text(first[:n])+text(rest), strings.Join(words, ""); got != want {
			t.Errorf("got %q after a break at %d, want %q", got, n, want)
		}
		if got := rest[len(rest)-1].data; got != "[DONE]" {
			t.Errorf("got last event %q, want [DONE]", got)
		}
		if job.Arrived.ReceivedTokens != n {
			t.Errorf("got Done %d, want %d", job.Arrived.ReceivedTokens, n)
		}
		if strings.Contains(first[0].data, string(job.Arrived.Request)) {
			t.Errorf("got the first request's id again, want a new one")
		}
		if got, want := answerOf(t, rest[0]), answerOf(t, first[0]); got != want {
			t.Errorf("got answer id %s, want %s", got, want)
		}
	}
}

func answerOf(t *testing.T, e event) string {
	t.Helper()
	var chunk struct{ ID string }
	if err := json.Unmarshal([]byte(e.data), &chunk); err != nil {
		t.Fatal(err)
	}
	return chunk.ID
}

// The caller sees resume-differs and no token when the answer made anew is
// not the one they hold part of, also when it is shorter: spliced, the two
// would be an answer that no model gave.
func TestResumeOfADifferentAnswer(t *testing.T) {
	first := parse(chat(newServer(&models{words: words}), ask).Body.String())
	for _, other := range [][]string{{"one ", "deux ", "three ", "four "}, {"one ", "two "}} {
		w := resume(newServer(&models{words: other}), key, first[2].id, ask)
		wantFault(t, w, http.StatusConflict, "resume-differs")
		if strings.Contains(w.Body.String(), "four") {
			t.Errorf("got %q, want no token", w.Body)
		}
	}
}

// The caller sees bad-resume for an id that was changed, made up, or given to
// another team or for another body: nobody can ask for the end of an answer
// that is not theirs, nor make the router skip tokens.
func TestForgedResumeTokens(t *testing.T) {
	id := parse(chat(newServer(&models{words: words}), ask).Body.String())[2].id
	for i := range id {
		changed := []byte(id)
		changed[i] ^= 1
		wantFault(t, resume(newServer(&models{words: words}), key, string(changed), ask), http.StatusBadRequest, "bad-resume")
	}
	whole := strings.Replace(ask, "true", "false", 1)
	tests := []struct{ name, bearer, id, body string }{
		{"other team", other, id, ask},
		{"other prompt", key, id, strings.Replace(ask, "hi", "ho", 1)},
		{"other limit", key, id, strings.Replace(ask, `"stream"`, `"max_tokens":50,"stream"`, 1)},
		{"shorter", key, id[:len(id)-1], ask},
		{"longer", key, id + "A", ask},
		{"empty base64", key, "====", ask},
		{"not a stream", key, id, whole},
	}
	for _, tt := range tests {
		ran := false
		s := newServer(&models{words: words, seen: func(context.Context, chain.Job) { ran = true }})
		wantFault(t, resume(s, tt.bearer, tt.id, tt.body), http.StatusBadRequest, "bad-resume")
		if ran {
			t.Errorf("%s: got it run, want it refused before", tt.name)
		}
	}
}

func FuzzResumeToken(f *testing.F) {
	sealer := entry.NewSealer(key, 7)
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
