package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// tableStore is the table store of the platform.
type tableStore struct {
	mu      sync.Mutex
	version uint64
	rows    map[rowKey]storeRow
	history []storeRow
	changed chan struct{}
	start   time.Time
}

// rowKey identifies a row.
type rowKey struct{ table, part, key string }

// storeRow is the JSON form of a row.
type storeRow struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     uint64 `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

func (r storeRow) id() rowKey { return rowKey{r.Table, r.Part, r.Key} }

// storeTx is the JSON form of a transaction.
type storeTx struct {
	Conditions []storeRow `json:"expected-revision"`
	Put        []storeRow `json:"writes"`
	Remove     []storeRow `json:"remove"`
}

func newTableStore() *tableStore {
	return &tableStore{rows: map[rowKey]storeRow{}, changed: make(chan struct{}), start: time.Now()}
}

// put writes a row as the operator and the engines do.
func (s *tableStore) put(table, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(storeTx{Put: []storeRow{{Table: table, Key: key, Value: data}}})
}

// remove removes a row.
func (s *tableStore) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(storeTx{Remove: []storeRow{{Table: table, Key: key}}})
}

// apply applies a transaction; s.mu is held.
func (s *tableStore) apply(t storeTx) {
	s.version++
	for _, r := range t.Put {
		r.Ver, r.Deleted = s.version, false
		s.rows[r.id()] = r
		s.history = append(s.history, r)
	}
	for _, r := range t.Remove {
		if _, ok := s.rows[r.id()]; ok {
			delete(s.rows, r.id())
			s.history = append(s.history, storeRow{Table: r.Table, Part: r.Part, Key: r.Key, Ver: s.version, Deleted: true})
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// serve serves the store on a listener and calls onCall for each call.
func (s *tableStore) serve(l net.Listener, onCall func(r *http.Request)) *http.Server {
	server := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		onCall(r)
		s.handle(w, r)
	})}
	go func() { _ = server.Serve(l) }()
	return server
}

func (s *tableStore) handle(w http.ResponseWriter, r *http.Request) {
	time.Sleep(4 * time.Millisecond)
	switch r.URL.Path {
	case "/rows-get":
		s.get(w, r)
	case "/rows-feed":
		s.feed(w, r)
	case "/rows-tx":
		s.commit(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// maxRows is how many rows an answer holds at most.
const maxRows = 500

func (s *tableStore) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	rows := []storeRow{}
	for k, row := range s.rows {
		if k.table == q.Get("table") && k.part == q.Get("part") && k.key >= q.Get("from") && (q.Get("to") == "" || k.key < q.Get("to")) {
			rows = append(rows, row)
		}
	}
	version := s.version
	s.mu.Unlock()
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	limit := maxRows
	if n, err := strconv.Atoi(q.Get("limit")); err == nil && n > 0 {
		limit = min(limit, n)
	}
	more := len(rows) > limit
	rows = rows[:min(len(rows), limit)]
	s.reply(w, http.StatusOK, map[string]any{"rows": rows, "has-more": more, "ver": version})
}

func (s *tableStore) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	since, _ := strconv.ParseUint(q.Get("since-revision"), 10, 64)
	ms, _ := strconv.Atoi(q.Get("wait-ms"))
	timer := time.NewTimer(time.Duration(ms) * time.Millisecond)
	defer timer.Stop()
	for {
		rows := []storeRow{}
		s.mu.Lock()
		version, changed := s.version, s.changed
		for _, row := range s.history {
			if row.Table == q.Get("table") && row.Ver > since {
				rows = append(rows, row)
			}
		}
		s.mu.Unlock()
		if len(rows) > 0 {
			s.reply(w, http.StatusOK, map[string]any{"rows": rows, "ver": version})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			s.reply(w, http.StatusOK, map[string]any{"rows": rows, "ver": version})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *tableStore) commit(w http.ResponseWriter, r *http.Request) {
	var t storeTx
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	for _, c := range t.Conditions {
		if s.rows[c.id()].Ver != c.Ver {
			rows := []storeRow{}
			for _, c := range t.Conditions {
				if row, ok := s.rows[c.id()]; ok {
					rows = append(rows, row)
				}
			}
			s.mu.Unlock()
			s.reply(w, http.StatusPreconditionFailed, map[string]any{"rows": rows})
			return
		}
	}
	s.apply(t)
	version := s.version
	s.mu.Unlock()
	s.reply(w, http.StatusOK, map[string]any{"ver": version})
}

func (s *tableStore) reply(w http.ResponseWriter, status int, body map[string]any) {
	body["now-ms"] = time.Since(s.start).Milliseconds()
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}
