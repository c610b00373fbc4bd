package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/state/ledger"

	"github.com/google/uuid"
	"github.com/gorilla/mux"
	"go.uber.org/zap"
)

// maxKeyBytes is the maximum length of an idempotency key.
const maxKeyBytes = 255

// outcomeBody is the JSON response to an outcome lookup and to a call that is
// still running.
type outcomeBody struct {
	State  string          `json:"state"`
	Status int             `json:"status,omitempty"`
	Answer json.RawMessage `json:"answer,omitempty"`
	Text   string          `json:"text,omitempty"`
}

// call handles POST /v1/calls/{class}: it runs a call of a plain service.
func (s *Server) call(w http.ResponseWriter, req *http.Request) {
	start := time.Now()
	class, c, err := s.readCall(w, req)
	if err == nil {
		err = s.limiter.acquire(c.Team())
	}
	if err != nil {
		s.reject(w, req, class.Name(), err)
		return
	}
	defer s.limiter.release(c.Team())
	// The call must not be canceled when the caller disconnects. A payment
	// interrupted midway would lose its answer and leave its outcome unknown.
	out, err := s.Calls.Do(context.WithoutCancel(req.Context()), c)
	s.recordCall(req, class, out, err, time.Since(start))
	if err != nil {
		s.writeFault(w, err)
		return
	}
	s.writeOutcome(w, out)
}

// recordCall records the end of a call in the metrics, the log, the span and the
// Observer.
func (s *Server) recordCall(req *http.Request, class spec.Class, out ledger.Outcome, err error, duration time.Duration) {
	code := out.State().String()
	if err != nil {
		code = toFault(err).Code
		s.Log.Info("entry: call failed", zap.String("class", string(class.Name())), zap.String("code", code), zap.Error(err))
	}
	s.meter.countRequest(class.Name(), code)
	s.meter.observeDuration("whole", class.Name(), duration)
	annotateSpan(req, class.Name(), 0, err)
	if s.Observer != nil {
		s.Observer.Served(class, 0, 0, duration, err == nil && out.State() == ledger.StateDone)
	}
}

// readCall authenticates, checks and reads a call request.
func (s *Server) readCall(w http.ResponseWriter, req *http.Request) (spec.Class, ledger.Call, error) {
	team, err := s.authenticate(req)
	if err != nil {
		return spec.Class{}, ledger.Call{}, err
	}
	class, err := s.plainClass(req)
	if err == nil {
		err = s.checkAccess(team, class)
	}
	if err != nil {
		return spec.Class{}, ledger.Call{}, err
	}
	key, err := callKey(req, class)
	if err != nil {
		return class, ledger.Call{}, err
	}
	body, err := s.readBody(w, req)
	if err != nil {
		return class, ledger.Call{}, err
	}
	contentType := req.Header.Get("Content-Type")
	return class, ledger.NewCall(team.ID(), class.Name(), class.Service(), key, contentType, body), nil
}

// callKey returns the idempotency key of a call. Calls of a retryable class need
// no key; without one they get a new random key.
func callKey(req *http.Request, class spec.Class) (string, error) {
	key := req.Header.Get("Idempotency-Key")
	switch {
	case key == "" && !class.Retryable():
		return "", newFault(http.StatusBadRequest, "no-idempotency-key", "A call of this class needs an Idempotency-Key.", RanNo)
	case key == "":
		return uuid.NewString(), nil
	case !validKey(key):
		return "", newFault(http.StatusBadRequest, "bad-idempotency-key", "The Idempotency-Key is longer than 255 bytes or not of printable ASCII.", RanNo)
	}
	return key, nil
}

// validKey reports whether key may be used in the key of a stored row and in log
// lines: printable ASCII without spaces, at most maxKeyBytes long.
func validKey(key string) bool {
	if key == "" || len(key) > maxKeyBytes {
		return false
	}
	for i := range len(key) {
		if key[i] <= ' ' || key[i] > '~' {
			return false
		}
	}
	return true
}

// plainClass returns the plain class named in the path of a request.
func (s *Server) plainClass(req *http.Request) (spec.Class, error) {
	class, ok := s.Config.Class(spec.ClassName(mux.Vars(req)["class"]))
	if !ok || class.Kind() != spec.KindPlain {
		return spec.Class{}, newFault(http.StatusNotFound, "unknown-class", "No plain class has that name.", RanNo)
	}
	return class, nil
}

// outcome handles GET /v1/calls/{class}/{key}: it returns the recorded outcome of
// a call.
func (s *Server) outcome(w http.ResponseWriter, req *http.Request) {
	team, err := s.authenticate(req)
	if err != nil {
		s.writeFault(w, err)
		return
	}
	class, err := s.plainClass(req)
	if err != nil {
		s.writeFault(w, err)
		return
	}
	key, err := url.PathUnescape(mux.Vars(req)["key"])
	if err != nil || !validKey(key) {
		s.writeFault(w, newFault(http.StatusBadRequest, "bad-idempotency-key", "The key in the path is none that a call may have.", RanNo))
		return
	}
	out, err := s.Calls.Lookup(req.Context(), team.ID(), class.Name(), key)
	if err != nil {
		s.writeFault(w, err)
		return
	}
	status := http.StatusOK
	if out.State() == ledger.StateNone {
		status = http.StatusNotFound
	}
	s.writeState(w, status, out)
}

// writeOutcome writes the response to a call: the answer of the service if it is
// known, otherwise the state of the call or a fault.
func (s *Server) writeOutcome(w http.ResponseWriter, out ledger.Outcome) {
	switch out.State() {
	case ledger.StateDone:
		a := out.Answer()
		s.writeBody(w, a.Status(), a.ContentType(), a.Body())
	case ledger.StateNotRun:
		f := newFault(http.StatusServiceUnavailable, "not-run", "The service could not be reached, so the call did not run.", RanNo)
		f.RetryAfter = storeRetryAfter
		s.writeFault(w, f)
	case ledger.StateRunning:
		w.Header().Set("Retry-After", "1")
		s.writeState(w, http.StatusConflict, out)
	default:
		s.writeFault(w, newFault(http.StatusBadGateway, "unsure", "The answer of the service was lost; the call may have run. Ask for its outcome.", RanUnsure))
	}
}

// writeState writes the state of a call and, once it is done, the service's
// answer.
func (s *Server) writeState(w http.ResponseWriter, status int, out ledger.Outcome) {
	b := outcomeBody{State: out.State().String()}
	if out.State() == ledger.StateDone {
		b.Status = out.Answer().Status()
		if json.Valid(out.Answer().Body()) {
			b.Answer = out.Answer().Body()
		} else {
			b.Text = string(out.Answer().Body())
		}
	}
	s.writeJSON(w, status, b)
}
