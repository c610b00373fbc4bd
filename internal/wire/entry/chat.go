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
	bytesPerToken = 4
	defaultTokens = 256
)

// ask is a checked chat request.
type ask struct {
	team   spec.Team
	class  spec.Class
	job    chain.Job
	stream bool
	usage  bool
	from   Position
	sealer *Sealer
	times  times
}

func (s *Server) chat(w http.ResponseWriter, req *http.Request) {
	began := time.Now()
	a, err := s.readChat(w, req)
	if err == nil {
		err = s.gate.enter(a.team.ID())
	}
	if err != nil {
		s.refuse(w, req, a.class.Name(), err)
		return
	}
	defer s.gate.leave(a.team.ID())
	a.times.began = began
	if a.stream {
		s.stream(w, req, &a)
		return
	}
	s.whole(w, req, &a)
}

// refuse answers a request that ends before it ran.
func (s *Server) refuse(w http.ResponseWriter, req *http.Request, class spec.ClassName, err error) {
	f := faultOf(err)
	s.meter.ended(class, f.Code)
	noted(req, class, 0, err)
	s.fault(w, f)
}

func (s *Server) readChat(w http.ResponseWriter, req *http.Request) (ask, error) {
	team, err := s.team(req)
	if err != nil {
		return ask{}, err
	}
	data, err := s.read(w, req)
	if err != nil {
		return ask{}, err
	}
	body, err := parseChat(data)
	if err != nil {
		return ask{}, err
	}
	if err := s.checkChat(&body); err != nil {
		return ask{}, err
	}
	class, err := s.modelClass(req, spec.ModelName(body.Model))
	if err != nil {
		return ask{}, err
	}
	if err := s.allowed(team, class); err != nil {
		return ask{}, err
	}
	a := ask{team: team, class: class, stream: body.Stream, usage: body.Options.Usage}
	a.job = job(requestID(req), team, class, &body)
	key, _ := bearer(req)
	a.sealer = NewSealer(key, fingerprint(&a.job))
	if !body.Stream {
		a.from, err = readWhole(req)
	} else {
		a.from, err = readResume(req, a.sealer, body.Max)
	}
	a.job.Arrived.ReceivedTokens = a.from.count
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
	case b.Max < 0 || b.MaxNew < 0 || b.Max > limit || b.MaxNew > limit:
		return newFault(http.StatusBadRequest, "bad-tokens", "The field max_tokens is out of range.", RanNo)
	case b.Options.Usage && !b.Stream:
		return badField("bad-field", "stream_options", "needs stream")
	}
	b.Max = max(b.Max, b.MaxNew)
	if b.Max == 0 {
		b.Max = min(defaultTokens, limit)
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

// job is what the layers below run. Its id is new for every request, also for
// one that resumes an answer: engines may hold state under the former id, and
// a caller must not be able to name the request of another.
func job(id string, team spec.Team, class spec.Class, b *chatBody) chain.Job {
	text := prompt(b.Messages)
	return chain.Job{
		Text: text,
		Arrived: domain.RequestArrived{
			Request: spec.RequestID(id), Team: team.ID(), Class: class.Name(), Model: class.Model(),
			PromptTokens: 1 + len(text)/bytesPerToken, MaxTokens: b.Max, BlockHashes: blocks(text),
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
