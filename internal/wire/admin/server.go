// Package admin implements the operators' API and its client.
//
// It imports package guard and the HTTP router, metrics and log libraries. The daemon serves its
// Handler at the operators' address; the commands apply, show, status and drain
// use Client.
package admin

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"fulmarwick/internal/wire/guard"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-faster/errors"
	"github.com/gorilla/mux"
	"go.uber.org/zap"
)

const (
	// maxDraft limits the body of a change in bytes.
	maxDraft = 16 << 20
	// maxDraftPause limits the pauses of that body.
	maxDraftPause = 10 * time.Second
	// defaultHistory is the number of changes listed by default, maxHistory the
	// maximum.
	defaultHistory = 20
	maxHistory     = 1000
	// maxBy limits the length of an operator name.
	maxBy = 100
)

// Server serves the operators' API. Set the exported fields before calling
// Handler.
type Server struct {
	Viewer  Viewer
	Drainer Drainer
	// Config may be nil; then the configuration can be neither shown nor
	// changed through this instance.
	Config Config
	Meters *metrics.Set
	Log    *zap.Logger
	// Ready reports whether this instance should receive requests of callers.
	Ready func() bool
}

// draftBody is the body of POST /v1/config.
type draftBody struct {
	Base      uint64     `json:"base"`
	By        string     `json:"by"`
	Documents []Document `json:"documents"`
}

// drained is the body of the answer to POST /v1/drain.
type drained struct {
	Running int `json:"running"`
}

// fault is the body of an error answer. Winners, Problems and ID are set only
// for their codes.
type fault struct {
	Code     string   `json:"code"`
	Text     string   `json:"message"`
	Winners  []Change `json:"winners,omitempty"`
	Problems []string `json:"problems,omitempty"`
	ID       string   `json:"id,omitempty"`
}

// Codes of faults.
const (
	codeConflict  = "conflict"
	codeRefused   = "refused"
	codeDown      = "store-down"
	codeUnsure    = "unsure"
	codeNotServed = "not-served"
	codeBad       = "bad-request"
	codeBusy      = "busy"
	codeInternal  = "internal"
)

// Handler returns the handler of the operators' endpoints.
func (s *Server) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/v1/status", s.status).Methods(http.MethodGet)
	r.HandleFunc("/v1/config", s.show).Methods(http.MethodGet)
	r.HandleFunc("/v1/config", s.apply).Methods(http.MethodPost)
	r.HandleFunc("/v1/config/history", s.history).Methods(http.MethodGet)
	r.HandleFunc("/v1/drain", s.drain).Methods(http.MethodPost)
	r.HandleFunc("/metrics", s.metrics).Methods(http.MethodGet)
	Health(r, s.Ready)
	return r
}

// Health adds /healthz, which reports that the process responds, and /readyz,
// which reports whether the instance should receive requests of callers.
func Health(r *mux.Router, ready func() bool) {
	r.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("ok\n"))
	}).Methods(http.MethodGet)
	r.HandleFunc("/readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !ready() {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
			return
		}
		_, _ = w.Write([]byte("ready\n"))
	}).Methods(http.MethodGet)
}

func (s *Server) status(w http.ResponseWriter, req *http.Request) {
	status, err := s.Viewer.Status(req.Context())
	s.answer(w, status, err)
}

func (s *Server) show(w http.ResponseWriter, req *http.Request) {
	if s.Config == nil {
		s.notServed(w)
		return
	}
	shown, err := s.Config.Show(req.Context())
	s.answer(w, shown, err)
}

func (s *Server) history(w http.ResponseWriter, req *http.Request) {
	if s.Config == nil {
		s.notServed(w)
		return
	}
	limit := defaultHistory
	if text := req.URL.Query().Get("limit"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 || n > maxHistory {
			write(w, http.StatusBadRequest, fault{Code: codeBad, Text: "limit is no number from 1 to " + strconv.Itoa(maxHistory)})
			return
		}
		limit = n
	}
	changes, err := s.Config.History(req.Context(), limit)
	s.answer(w, changes, err)
}

func (s *Server) apply(w http.ResponseWriter, req *http.Request) {
	if s.Config == nil {
		s.notServed(w)
		return
	}
	body, err := readDraft(w, req)
	if errors.Is(err, guard.ErrNoRoom) {
		write(w, http.StatusServiceUnavailable, fault{Code: codeBusy, Text: "this instance has no memory for the change"})
		return
	}
	if err != nil {
		write(w, http.StatusBadRequest, fault{Code: codeBad, Text: "the body is not the JSON expected: " + err.Error()})
		return
	}
	by := operator(req, body.By)
	if by == "" || len(by) > maxBy {
		write(w, http.StatusBadRequest, fault{Code: codeBad, Text: "the operator's name is missing or too long"})
		return
	}
	applied, err := s.Config.Apply(req.Context(), Draft{Base: body.Base, By: by, Documents: body.Documents})
	if err == nil {
		s.Log.Info("admin: configuration accepted", zap.Uint64("version", applied.Version), zap.String("by", by))
	}
	s.answer(w, applied, err)
}

// readDraft reads the body of a change.
func readDraft(w http.ResponseWriter, req *http.Request) (draftBody, error) {
	var body draftBody
	data, err := guard.Body{MaxBytes: maxDraft, MaxPause: maxDraftPause}.Read(w, req)
	if err != nil {
		return body, err
	}
	// The documents are copies.
	if !guard.Grow(req, int64(len(data))) {
		return body, guard.ErrNoRoom
	}
	err = json.NewDecoder(bytes.NewReader(data)).Decode(&body)
	return body, err
}

// operator returns the name of the operator: the name in the verified client
// certificate if there is one, otherwise the given name.
func operator(req *http.Request, given string) string {
	if req.TLS != nil && len(req.TLS.VerifiedChains) > 0 {
		return req.TLS.VerifiedChains[0][0].Subject.CommonName
	}
	return given
}

func (s *Server) drain(w http.ResponseWriter, req *http.Request) {
	s.Log.Info("admin: drain requested", zap.String("by", operator(req, req.RemoteAddr)))
	s.Drainer.Begin()
	s.answer(w, drained{Running: s.Drainer.Running()}, nil)
}

func (s *Server) metrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	s.Meters.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}

func (s *Server) notServed(w http.ResponseWriter) {
	write(w, http.StatusNotFound, fault{Code: codeNotServed, Text: "this instance keeps no shared configuration"})
}

// answer writes body, or the fault for err.
func (s *Server) answer(w http.ResponseWriter, body any, err error) {
	if err == nil {
		write(w, http.StatusOK, body)
		return
	}
	var conflict *ConflictError
	var refused *RefusedError
	var unsure *UnsureError
	switch {
	case errors.As(err, &conflict):
		write(w, http.StatusConflict, fault{Code: codeConflict, Text: conflict.Error(), Winners: conflict.Winners})
	case errors.As(err, &refused):
		write(w, http.StatusUnprocessableEntity, fault{Code: codeRefused, Text: "the change was refused", Problems: refused.Problems})
	case errors.Is(err, ErrDown):
		write(w, http.StatusServiceUnavailable, fault{Code: codeDown, Text: ErrDown.Error()})
	case errors.As(err, &unsure):
		write(w, http.StatusBadGateway, fault{Code: codeUnsure, Text: unsure.Error(), ID: unsure.ID})
	default:
		s.Log.Warn("admin: request failed", zap.Error(err))
		write(w, http.StatusInternalServerError, fault{Code: codeInternal, Text: err.Error()})
	}
}

func write(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
