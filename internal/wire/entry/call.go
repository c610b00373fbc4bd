package entry

import (
	"encoding/json"
	"net/http"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/state/ledger"

	"github.com/google/uuid"
	"github.com/gorilla/mux"
	"go.uber.org/zap"
)

const maxKey = 255

// outcomeBody answers an outcome look-up, and a call whose end is not known.
type outcomeBody struct {
	State  string          `json:"state"`
	Status int             `json:"status,omitempty"`
	Answer json.RawMessage `json:"answer,omitempty"`
	Text   string          `json:"text,omitempty"`
}

func (s *Server) call(w http.ResponseWriter, req *http.Request) {
	c, err := s.readCall(w, req)
	if err != nil {
		faultOf(err).write(w)
		return
	}
	out, err := s.Calls.Do(req.Context(), c)
	if err != nil {
		s.Log.Info("entry: call failed", zap.String("class", string(c.Class())), zap.Error(err))
		faultOf(err).write(w)
		return
	}
	writeOutcome(w, out)
}

func (s *Server) readCall(w http.ResponseWriter, req *http.Request) (ledger.Call, error) {
	team, err := s.team(req)
	if err != nil {
		return ledger.Call{}, err
	}
	class, err := s.plainClass(req)
	if err != nil {
		return ledger.Call{}, err
	}
	key := req.Header.Get("Idempotency-Key")
	switch {
	case key == "" && !class.Repeatable():
		return ledger.Call{}, newFault(http.StatusBadRequest, "no-key", "A call of this class needs an Idempotency-Key.", RanNo)
	case key == "":
		key = uuid.NewString()
	case len(key) > maxKey:
		return ledger.Call{}, newFault(http.StatusBadRequest, "bad-key", "The Idempotency-Key is longer than 255 bytes.", RanNo)
	}
	body, err := s.read(w, req)
	if err != nil {
		return ledger.Call{}, err
	}
	return ledger.NewCall(team.ID(), class.Name(), class.Service(), key, req.Header.Get("Content-Type"), body), nil
}

func (s *Server) plainClass(req *http.Request) (spec.Class, error) {
	class, ok := s.Book.Class(spec.ClassName(mux.Vars(req)["class"]))
	if !ok || class.Kind() != spec.KindPlain {
		return spec.Class{}, newFault(http.StatusNotFound, "unknown-class", "No plain class has that name.", RanNo)
	}
	return class, nil
}

func (s *Server) outcome(w http.ResponseWriter, req *http.Request) {
	team, err := s.team(req)
	if err != nil {
		faultOf(err).write(w)
		return
	}
	vars := mux.Vars(req)
	out, err := s.Calls.Look(req.Context(), team.ID(), spec.ClassName(vars["class"]), vars["key"])
	if err != nil {
		faultOf(err).write(w)
		return
	}
	status := http.StatusOK
	if out.State() == ledger.StateNone {
		status = http.StatusNotFound
	}
	writeState(w, status, out)
}

// writeOutcome answers a call: with the service's own answer if it is known.
func writeOutcome(w http.ResponseWriter, out ledger.Outcome) {
	switch out.State() {
	case ledger.StateDone:
		a := out.Answer()
		w.Header().Set("Content-Type", a.Type())
		w.WriteHeader(a.Status())
		_, _ = w.Write(a.Body())
	case ledger.StateNotRun:
		f := newFault(http.StatusServiceUnavailable, "not-run", "The service could not be reached, so the call did not run.", RanNo)
		f.write(w)
	case ledger.StateRunning:
		writeState(w, http.StatusConflict, out)
	default:
		f := newFault(http.StatusBadGateway, "unsure", "The answer of the service was lost; the call may have run. Ask for its outcome.", RanUnsure)
		f.write(w)
	}
}

func writeState(w http.ResponseWriter, status int, out ledger.Outcome) {
	b := outcomeBody{State: out.State().String()}
	if out.State() == ledger.StateDone {
		b.Status = out.Answer().Status()
		if json.Valid(out.Answer().Body()) {
			b.Answer = out.Answer().Body()
		} else {
			b.Text = string(out.Answer().Body())
		}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(b)
}
