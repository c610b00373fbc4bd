package stage

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"fulmarwick/internal/base/frame"
	"fulmarwick/internal/fakes/layer"
)

const maxKVBytes = 256 << 20

// exportKV gives the cache of a range of a request's state.
func (e *Engine) exportKV(w http.ResponseWriter, req *http.Request) {
	q := req.URL.Query()
	from, err1 := strconv.Atoi(q.Get("from"))
	to, err2 := strconv.Atoi(q.Get("to"))
	if err1 != nil || err2 != nil {
		http.Error(w, "from and to must be layers", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for k, ses := range e.sessions {
		if k.req != q.Get("req") {
			continue
		}
		if data, ok := ses.kv.Export(from, to); ok {
			writeJSON(w, frame.KV{Req: k.req, Model: ses.model, From: from, To: to, Try: ses.attempt, Pos: ses.kv.Pos(), Data: data})
			return
		}
	}
	http.Error(w, "no such state", http.StatusNotFound)
}

// importKV opens a state from a cache that another engine gave.
func (e *Engine) importKV(w http.ResponseWriter, req *http.Request) {
	var kv frame.KV
	if err := json.NewDecoder(http.MaxBytesReader(w, req.Body, maxKVBytes)).Decode(&kv); err != nil {
		http.Error(w, "not a KV cache", http.StatusBadRequest)
		return
	}
	state, ok := layer.Import(kv.From, kv.To, kv.Pos, kv.Data)
	e.mu.Lock()
	defer e.mu.Unlock()
	depth, held := e.findLoaded(kv.Model, kv.From, kv.To)
	if !ok || !held {
		http.Error(w, "no such range, or data of another size", http.StatusUnprocessableEntity)
		return
	}
	k := key{req: kv.Req, from: kv.From}
	if ses := e.sessions[k]; ses != nil && ses.attempt >= kv.Try {
		http.Error(w, "a state of this attempt exists", http.StatusConflict)
		return
	}
	e.sessions[k] = &session{
		attempt: kv.Try, to: kv.To, depth: depth, model: kv.Model, kv: state,
		lastUsed: time.Now(), orphaned: time.Now(),
	}
	w.WriteHeader(http.StatusNoContent)
}
