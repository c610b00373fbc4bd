package infra

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"

	"fulmarwick/internal/state/store"

	"github.com/go-faster/errors"
	"github.com/gorilla/mux"
)

// Server serves a table, an object store and a list of instances over HTTP.
type Server struct {
	// Table is the table that the server serves.
	Table *Table
	// Objects is the object store: each row is an object.
	Objects Table

	mu      sync.Mutex
	entries []store.ListedBody
}

// SetEntries replaces the platform's list of instances.
func (s *Server) SetEntries(entries []store.ListedBody) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries = append([]store.ListedBody(nil), entries...)
}

// Handler returns the handler of the platform's protocol.
func (s *Server) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/v1/row", handleGet(s.Table)).Methods(http.MethodGet)
	r.HandleFunc("/v1/table", s.scan).Methods(http.MethodGet)
	r.HandleFunc("/v1/commit", s.commit).Methods(http.MethodPost)
	r.HandleFunc("/v1/object", handleGet(&s.Objects)).Methods(http.MethodGet)
	r.HandleFunc("/v1/object", s.putObject).Methods(http.MethodPost)
	r.HandleFunc("/v1/instances", s.listInstances).Methods(http.MethodGet)
	return r
}

// handleGet returns a handler that serves single rows of a table, or objects.
func handleGet(t *Table) http.HandlerFunc {
	return func(w http.ResponseWriter, req *http.Request) {
		row, err := t.Get(req.Context(), req.URL.Query().Get("key"))
		if err != nil {
			writeError(w, err)
			return
		}
		writeJSON(w, rowBody(row))
	}
}

func (s *Server) scan(w http.ResponseWriter, req *http.Request) {
	q := req.URL.Query()
	since, _ := strconv.ParseUint(q.Get("since"), 10, 64)
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil {
		http.Error(w, "limit is not a number", http.StatusBadRequest)
		return
	}
	rows, err := s.Table.Scan(req.Context(), q.Get("prefix"), since, limit)
	if err != nil {
		writeError(w, err)
		return
	}
	out := store.ScanBody{}
	for _, r := range rows {
		out.Rows = append(out.Rows, rowBody(r))
	}
	writeJSON(w, out)
}

func (s *Server) commit(w http.ResponseWriter, req *http.Request) {
	var in store.CommitBody
	if err := json.NewDecoder(req.Body).Decode(&in); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	var writes []store.Write
	for _, b := range in.Writes {
		if b.Remove {
			writes = append(writes, store.Remove(b.Key, b.IfVersion))
			continue
		}
		writes = append(writes, store.Put(b.Key, b.IfVersion, b.Value))
	}
	version, err := s.Table.Commit(req.Context(), writes)
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, store.CommitDone{Version: version})
}

func (s *Server) putObject(w http.ResponseWriter, req *http.Request) {
	var in store.WriteBody
	if err := json.NewDecoder(req.Body).Decode(&in); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	version, err := s.Objects.Commit(req.Context(), []store.Write{store.Put(in.Key, in.IfVersion, in.Value)})
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, store.CommitDone{Version: version})
}

func (s *Server) listInstances(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	writeJSON(w, s.entries)
}

func rowBody(r store.Row) store.RowBody {
	return store.RowBody{Key: r.Key(), Version: r.Version(), Value: r.Value()}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// writeError sends the status that stands for err. If the outcome is unknown, it
// closes the connection without a response.
func writeError(w http.ResponseWriter, err error) {
	switch {
	case errors.Is(err, store.ErrNotFound):
		http.Error(w, "missing", http.StatusNotFound)
	case errors.Is(err, store.ErrConflict):
		http.Error(w, "conflict", http.StatusConflict)
	case errors.Is(err, store.ErrUnavailable):
		http.Error(w, "down", http.StatusServiceUnavailable)
	default:
		panic(http.ErrAbortHandler)
	}
}
