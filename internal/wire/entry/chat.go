package entry

import (
	"encoding/binary"
	"net/http"
	"strings"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/domain"
	"fulmarwick/internal/wire/chain"
	"fulmarwick/internal/wire/guard"

	"github.com/cespare/xxhash/v2"
)

const (
	// blockBytes is the size of the prompt blocks that are hashed to detect
	// prompts with a common prefix.
	blockBytes = 256
	// bytesPerToken is the average used to estimate the number of tokens of a
	// prompt.
	bytesPerToken = 4
	// parsedShare is what a parsed body and its prompt take besides the body itself, in sizes of the body.
	parsedShare = 2
	// defaultMaxTokens is the token limit of requests that set none.
	defaultMaxTokens = 256
)

// chatRequest is a chat request that has been authenticated and validated.
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

// chat handles POST /v1/chat/completions.
func (s *Server) chat(w http.ResponseWriter, req *http.Request) {
	start := time.Now()
	chat, err := s.readChat(w, req)
	if err == nil {
		err = s.limiter.acquire(chat.team.ID())
	}
	if err != nil {
		s.reject(w, req, chat.class.Name(), err)
		return
	}
	defer s.limiter.release(chat.team.ID())
	chat.timings.start = start
	if chat.stream {
		s.streamChat(w, req, &chat)
		return
	}
	s.completeChat(w, req, &chat)
}

// reject records and answers a request that is refused before it runs.
func (s *Server) reject(w http.ResponseWriter, req *http.Request, class spec.ClassName, err error) {
	f := toFault(err)
	s.meter.countRequest(class, f.Code)
	annotateSpan(req, class, 0, err)
	s.writeFault(w, f)
}

// readChat authenticates, reads and validates a chat request.
func (s *Server) readChat(w http.ResponseWriter, req *http.Request) (chatRequest, error) {
	team, err := s.authenticate(req)
	if err != nil {
		return chatRequest{}, err
	}
	data, err := s.readBody(w, req)
	if err != nil {
		return chatRequest{}, err
	}
	if !guard.Grow(req, parsedShare*int64(len(data))) {
		return chatRequest{}, noRoomFault()
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
	chat := chatRequest{team: team, class: class, stream: body.Stream, includeUsage: body.Options.Usage}
	chat.job = newJob(requestID(req), team, class, &body)
	key, _ := bearerKey(req)
	chat.sealer = NewSealer(key, fingerprint(&chat.job))
	if !body.Stream {
		chat.resumeFrom, err = startPosition(req)
	} else {
		chat.resumeFrom, err = resumePosition(req, chat.sealer, body.MaxTokens)
	}
	chat.job.Arrived.ReceivedTokens = chat.resumeFrom.count
	return chat, err
}

// fingerprint returns a hash of the model, prompt and token limit of a job. A
// resume token is valid only for requests with the same fingerprint, since
// another prompt or limit gives another answer.
func fingerprint(j *chain.Job) uint64 {
	var limit [8]byte
	binary.BigEndian.PutUint64(limit[:], uint64(j.Arrived.MaxTokens))
	h := xxhash.New()
	_, _ = h.WriteString(string(j.Arrived.Model) + "\n" + j.Text)
	_, _ = h.Write(limit[:])
	return h.Sum64()
}

// checkChat validates the body of a chat request and sets its default token limit.
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

// modelClass returns the class named by the X-Class header, or the default class
// of the model if the header is missing.
func (s *Server) modelClass(req *http.Request, model spec.ModelName) (spec.Class, error) {
	name := spec.ClassName(req.Header.Get("X-Class"))
	if name == "" {
		class, ok := s.Config.DefaultClass(model)
		if !ok {
			return spec.Class{}, newFault(http.StatusNotFound, "unknown-model", "No class serves the model.", RanNo)
		}
		return class, nil
	}
	class, ok := s.Config.Class(name)
	if !ok || class.Kind() != spec.KindModel || class.Model() != model {
		return spec.Class{}, newFault(http.StatusBadRequest, "unknown-class", "No class of that name serves the model.", RanNo)
	}
	return class, nil
}

// newJob returns the job that wire/chain runs for a request. The request id is
// always new, also when an answer is resumed: engines may still hold state under
// the previous id, and a caller must not be able to refer to the request of
// another caller.
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

// prompt joins the messages into the text that engines get.
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

// blockHashes returns one hash per complete block of the text. Each hash covers
// the block and all text before it.
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
