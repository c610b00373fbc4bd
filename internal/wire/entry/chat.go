package entry

import (
	"encoding/binary"
	"net/http"
	"strings"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/domain"
	"fulmarwick/internal/wire/chain"

	"github.com/cespare/xxhash/v2"
)

const (
	// blockBytes is the size of the prompt blocks whose hashes tell shared
	// prefixes.
	blockBytes = 256
	// bytesPerToken estimates the tokens of a prompt.
	bytesPerToken    = 4
	defaultMaxTokens = 256
)

// chatRequest is a checked chat request.
type chatRequest struct {
	team         spec.Team
	class        spec.Class
	job          chain.Job
	stream       bool
	includeUsage bool
	resumeFrom   Position
	sealer       *Sealer
	timings      timings
}

func (s *Server) chat(w http.ResponseWriter, req *http.Request) {
	began := time.Now()
	a, err := s.readChat(w, req)
	if err == nil {
		err = s.limiter.acquire(a.team.ID())
	}
	if err != nil {
		s.reject(w, req, a.class.Name(), err)
		return
	}
	defer s.limiter.release(a.team.ID())
	a.timings.start = began
	if a.stream {
		s.streamChat(w, req, &a)
		return
	}
	s.completeChat(w, req, &a)
}

// reject answers a request that ends before it ran.
func (s *Server) reject(w http.ResponseWriter, req *http.Request, class spec.ClassName, err error) {
	f := toFault(err)
	s.meter.countRequest(class, f.Code)
	annotateSpan(req, class, 0, err)
	s.writeFault(w, f)
}

func (s *Server) readChat(w http.ResponseWriter, req *http.Request) (chatRequest, error) {
	team, err := s.authenticate(req)
	if err != nil {
		return chatRequest{}, err
	}
	data, err := s.readBody(w, req)
	if err != nil {
		return chatRequest{}, err
	}
	body, err := parseChat(data)
	if err != nil {
		return chatRequest{}, err
	}
	if err := s.checkChat(&body); err != nil {
		return chatRequest{}, err
	}
	class, err := s.modelClass(req, spec.ModelName(body.Model))
	if err != nil {
		return chatRequest{}, err
	}
	if err := s.checkAccess(team, class); err != nil {
		return chatRequest{}, err
	}
	a := chatRequest{team: team, class: class, stream: body.Stream, includeUsage: body.Options.Usage}
	a.job = newJob(requestID(req), team, class, &body)
	key, _ := bearerKey(req)
	a.sealer = NewSealer(key, fingerprint(&a.job))
	if !body.Stream {
		a.resumeFrom, err = startPosition(req)
	} else {
		a.resumeFrom, err = resumePosition(req, a.sealer, body.MaxTokens)
	}
	a.job.Arrived.ReceivedTokens = a.resumeFrom.count
	return a, err
}

// fingerprint is what a resume token holds to: another prompt or limit is
// another answer.
func fingerprint(j *chain.Job) uint64 {
	var limit [8]byte
	binary.BigEndian.PutUint64(limit[:], uint64(j.Arrived.MaxTokens))
	h := xxhash.New()
	_, _ = h.WriteString(string(j.Arrived.Model) + "\n" + j.Text)
	_, _ = h.Write(limit[:])
	return h.Sum64()
}

func (s *Server) checkChat(b *chatBody) error {
	limit := s.Limits.Tokens
	switch {
	case b.Model == "":
		return newFault(http.StatusBadRequest, "no-model", "The field model is missing.", RanNo)
	case len(b.Messages) == 0:
		return newFault(http.StatusBadRequest, "no-messages", "The field messages is empty.", RanNo)
	case b.MaxTokens < 0 || b.MaxCompletionTokens < 0 || b.MaxTokens > limit || b.MaxCompletionTokens > limit:
		return newFault(http.StatusBadRequest, "bad-tokens", "The field max_tokens is out of range.", RanNo)
	case b.Options.Usage && !b.Stream:
		return badField("bad-field", "stream_options", "needs stream")
	}
	b.MaxTokens = max(b.MaxTokens, b.MaxCompletionTokens)
	if b.MaxTokens == 0 {
		b.MaxTokens = min(defaultMaxTokens, limit)
	}
	return nil
}

// modelClass finds the class of a request: the one that it names, else the
// model's default.
func (s *Server) modelClass(req *http.Request, model spec.ModelName) (spec.Class, error) {
	name := spec.ClassName(req.Header.Get("X-Class"))
	if name == "" {
		class, ok := s.Book.DefaultClass(model)
		if !ok {
			return spec.Class{}, newFault(http.StatusNotFound, "unknown-model", "No class serves the model.", RanNo)
		}
		return class, nil
	}
	class, ok := s.Book.Class(name)
	if !ok || class.Kind() != spec.KindModel || class.Model() != model {
		return spec.Class{}, newFault(http.StatusBadRequest, "unknown-class", "No class of that name serves the model.", RanNo)
	}
	return class, nil
}

// newJob is what the layers below run. Its id is new for every request, also for
// one that resumes an answer: engines may hold state under the former id, and
// a caller must not be able to name the request of another.
func newJob(id string, team spec.Team, class spec.Class, b *chatBody) chain.Job {
	text := prompt(b.Messages)
	return chain.Job{
		Text: text,
		Arrived: domain.RequestArrived{
			Request: spec.RequestID(id), Team: team.ID(), Class: class.Name(), Model: class.Model(),
			PromptTokens: 1 + len(text)/bytesPerToken, MaxTokens: b.MaxTokens, BlockHashes: blockHashes(text),
			Fingerprint: xxhash.Sum64String(string(class.Model()) + "\n" + text),
		},
	}
}

func prompt(messages []chatMessage) string {
	var b strings.Builder
	for _, m := range messages {
		b.WriteString(m.Role)
		b.WriteString(": ")
		b.WriteString(m.Text)
		b.WriteByte('\n')
	}
	return b.String()
}

// blockHashes returns a hash per whole block of the text, each covering all text
// before it too.
func blockHashes(text string) []uint64 {
	var out []uint64
	h := xxhash.New()
	for len(text) >= blockBytes {
		_, _ = h.WriteString(text[:blockBytes])
		out = append(out, h.Sum64())
		text = text[blockBytes:]
	}
	return out
}
