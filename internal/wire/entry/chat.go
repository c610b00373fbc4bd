package entry

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/world"
	"fulmarwick/internal/wire/chain"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
)

const (
	// blockBytes is the size of the prompt blocks whose hashes tell shared
	// prefixes.
	blockBytes = 256
	// bytesPerToken estimates the tokens of a prompt.
	bytesPerToken = 4
	defaultTokens = 256
)

// chatBody is the published chat-completions request, as far as it is used.
type chatBody struct {
	Model    string        `json:"model"`
	Messages []chatMessage `json:"messages"`
	Stream   bool          `json:"stream"`
	Max      int           `json:"max_tokens"`
	MaxNew   int           `json:"max_completion_tokens"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

func (s *Server) chat(w http.ResponseWriter, req *http.Request) {
	ask, err := s.readChat(w, req)
	if err != nil {
		faultOf(err).write(w)
		return
	}
	if ask.stream {
		s.stream(w, req, ask)
		return
	}
	s.whole(w, req, ask)
}

// ask is a checked chat request.
type ask struct {
	job    chain.Job
	stream bool
	resume resume
}

func (s *Server) readChat(w http.ResponseWriter, req *http.Request) (ask, error) {
	team, err := s.team(req)
	if err != nil {
		return ask{}, err
	}
	var body chatBody
	if err := s.decode(w, req, &body); err != nil {
		return ask{}, err
	}
	if err := s.checkChat(&body); err != nil {
		return ask{}, err
	}
	class, err := s.modelClass(req, spec.ModelName(body.Model))
	if err != nil {
		return ask{}, err
	}
	from, err := readResume(req)
	if err != nil {
		return ask{}, err
	}
	return ask{job: job(team, class, &body, from), stream: body.Stream, resume: from}, nil
}

func (s *Server) team(req *http.Request) (spec.Team, error) {
	key, ok := strings.CutPrefix(req.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return spec.Team{}, newFault(http.StatusUnauthorized, "no-key", "The Authorization header must carry the team's bearer key.", RanNo)
	}
	team, ok := s.Book.Team(key)
	if !ok {
		return spec.Team{}, newFault(http.StatusUnauthorized, "unknown-key", "The key belongs to no team.", RanNo)
	}
	return team, nil
}

func (s *Server) decode(w http.ResponseWriter, req *http.Request, into any) error {
	data, err := s.read(w, req)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(data, into); err != nil {
		return newFault(http.StatusBadRequest, "bad-json", "The body is not the JSON expected: "+err.Error()+".", RanNo)
	}
	return nil
}

func (s *Server) read(w http.ResponseWriter, req *http.Request) ([]byte, error) {
	data, err := io.ReadAll(http.MaxBytesReader(w, req.Body, s.Limits.Body))
	if err != nil {
		return nil, newFault(http.StatusRequestEntityTooLarge, "body-size", "The body is too large or was cut.", RanNo)
	}
	return data, nil
}

func (s *Server) checkChat(b *chatBody) error {
	b.Max = max(b.Max, b.MaxNew)
	if b.Max == 0 {
		b.Max = min(defaultTokens, s.Limits.Tokens)
	}
	switch {
	case b.Model == "":
		return newFault(http.StatusBadRequest, "no-model", "The field model is missing.", RanNo)
	case len(b.Messages) == 0:
		return newFault(http.StatusBadRequest, "no-messages", "The field messages is empty.", RanNo)
	case b.Max < 0 || b.Max > s.Limits.Tokens:
		return newFault(http.StatusBadRequest, "bad-tokens", "The field max_tokens is out of range.", RanNo)
	}
	return nil
}

func (s *Server) modelClass(req *http.Request, model spec.ModelName) (spec.Class, error) {
	name := spec.ClassName(req.Header.Get("X-Class"))
	class, ok := s.Book.Class(name)
	if name == "" {
		class, ok = s.Book.ClassOf(model)
	}
	if !ok || class.Kind() != spec.KindModel || class.Model() != model {
		return spec.Class{}, newFault(http.StatusBadRequest, "unknown-class", "No class of that name serves the model.", RanNo)
	}
	return class, nil
}

func job(team spec.Team, class spec.Class, b *chatBody, from resume) chain.Job {
	text := prompt(b.Messages)
	id := from.Request
	if id == "" {
		id = uuid.NewString()
	}
	return chain.Job{
		Text: text,
		Arrived: world.Arrived{
			Request: spec.RequestID(id), Team: team.ID(), Class: class.Name(), Model: class.Model(),
			Prompt: 1 + len(text)/bytesPerToken, Limit: b.Max, Blocks: blocks(text),
			Print: xxhash.Sum64String(string(class.Model()) + "\n" + text), Done: from.Count,
		},
	}
}

func prompt(messages []chatMessage) string {
	var b strings.Builder
	for _, m := range messages {
		b.WriteString(m.Role)
		b.WriteString(": ")
		b.WriteString(m.Content)
		b.WriteByte('\n')
	}
	return b.String()
}

// blocks returns a hash per whole block of the text, each covering all text
// before it too.
func blocks(text string) []uint64 {
	var out []uint64
	h := xxhash.New()
	for len(text) >= blockBytes {
		_, _ = h.WriteString(text[:blockBytes])
		out = append(out, h.Sum64())
		text = text[blockBytes:]
	}
	return out
}
