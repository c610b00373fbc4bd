package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// answerTime is how long the store takes for a call.
const answerTime = 4 * time.Millisecond

// row is a row of the store in wire form.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     uint64 `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

// rowKey identifies a row.
type rowKey struct{ table, key string }

// store is the platform's metadata store in its table form. It keeps all its history.
type store struct {
	mu      sync.Mutex
	rows    map[rowKey]row
	history []row
	ver     uint64
	changed chan struct{}
	start   time.Time
}

func newStore() *store {
	return &store{rows: map[rowKey]row{}, changed: make(chan struct{}), start: time.Now()}
}

// put writes a row as the operator or an engine.
func (s *store) put(table, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.apply(row{Table: table, Key: key, Value: data, Ver: s.ver})
	s.wake()
}

// apply stores a changed row; s.mu is held.
func (s *store) apply(r row) {
	if r.Deleted {
		delete(s.rows, rowKey{r.Table, r.Key})
	} else {
		s.rows[rowKey{r.Table, r.Key}] = r
	}
	s.history = append(s.history, r)
}

// wake ends the calls that wait for changes; s.mu is held.
func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// handler serves the calls of the store.
func (s *store) handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /rows-get", s.get)
	m.HandleFunc("GET /rows-feed", s.feed)
	m.HandleFunc("POST /rows-tx", s.commit)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(answerTime)
		m.ServeHTTP(w, r)
	})
}

// reply answers with rows; s.mu is held.
func (s *store) reply(w http.ResponseWriter, status int, rows []row) {
	if rows == nil {
		rows = []row{}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]any{
		"rows": rows, "has-more": false, "ver": s.ver, "now-ms": time.Since(s.start).Milliseconds(),
	})
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	table, from, to := q.Get("table"), q.Get("from"), q.Get("to")
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []row
	for k, stored := range s.rows {
		if k.table == table && k.key >= from && (to == "" || k.key < to) {
			out = append(out, stored)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	s.reply(w, http.StatusOK, out)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	since, err := strconv.ParseUint(q.Get("since-revision"), 10, 64)
	wait, waitErr := strconv.Atoi(q.Get("wait-ms"))
	if err != nil || waitErr != nil {
		http.Error(w, "malformed query", http.StatusBadRequest)
		return
	}
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		rows := s.changesSince(q.Get("table"), since)
		if len(rows) > 0 {
			s.reply(w, http.StatusOK, rows)
			s.mu.Unlock()
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timeout:
			s.mu.Lock()
			s.reply(w, http.StatusOK, nil)
			s.mu.Unlock()
			return
		}
	}
}

// changesSince returns the last change of each row of a table after a version; s.mu is held.
func (s *store) changesSince(table string, since uint64) []row {
	newest := map[string]row{}
	for _, r := range s.history {
		if r.Table == table && r.Ver > since {
			newest[r.Key] = r
		}
	}
	var out []row
	for _, r := range newest {
		out = append(out, r)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Ver < out[j].Ver })
	return out
}

// transaction is the body of rows-tx.
type transaction struct {
	Conditions []row `json:"expected-revision"`
	Writes     []row `json:"writes"`
	Remove     []row `json:"remove"`
}

func (s *store) commit(w http.ResponseWriter, r *http.Request) {
	var tx transaction
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		http.Error(w, "malformed body", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var current []row
	conflict := false
	for _, c := range tx.Conditions {
		stored := s.rows[rowKey{c.Table, c.Key}]
		conflict = conflict || stored.Ver != c.Ver
		if stored.Ver != 0 {
			current = append(current, stored)
		}
	}
	if conflict {
		s.reply(w, http.StatusPreconditionFailed, current)
		return
	}
	s.ver++
	for _, write := range tx.Writes {
		write.Ver = s.ver
		s.apply(write)
	}
	for _, gone := range tx.Remove {
		gone.Ver, gone.Deleted = s.ver, true
		s.apply(gone)
	}
	s.wake()
	s.reply(w, http.StatusOK, nil)
}
