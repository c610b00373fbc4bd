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

// exportKV serves the KV cache of a range of layers of a request.
func (e *Engine) exportKV(w http.ResponseWriter, req *http.Request) {
	query := req.URL.Query()
	from, err1 := strconv.Atoi(query.Get("from"))
	to, err2 := strconv.Atoi(query.Get("to"))
	if err1 != nil || err2 != nil {
		http.Error(w, "parameters from and to must be layer numbers", http.StatusBadRequest)
		return
	}
	e.lock()
	defer e.mu.Unlock()
	for k, sess := range e.sessions {
		if k.req != query.Get("req") {
			continue
		}
		if data, ok := sess.kv.Export(from, to); ok {
			writeJSON(w, frame.KV{Req: k.req, Model: sess.model, From: from, To: to, Try: sess.attempt, Pos: sess.kv.Pos(), Data: data})
			return
		}
	}
	http.Error(w, "no state for this request and range", http.StatusNotFound)
}

// importKV creates the state of a request from a KV cache that another engine
// exported.
func (e *Engine) importKV(w http.ResponseWriter, req *http.Request) {
	var kv frame.KV
	if err := json.NewDecoder(http.MaxBytesReader(w, req.Body, maxKVBytes)).Decode(&kv); err != nil {
		http.Error(w, "body is not a valid KV cache", http.StatusBadRequest)
		return
	}
	state, ok := layer.Import(kv.From, kv.To, kv.Pos, kv.Data)
	e.lock()
	defer e.mu.Unlock()
	depth, loaded := e.findLoaded(kv.Model, kv.From, kv.To)
	if !ok || !loaded {
		http.Error(w, "range is not loaded, or KV data has the wrong size", http.StatusUnprocessableEntity)
		return
	}
	k := key{req: kv.Req, from: kv.From}
	if sess := e.sessions[k]; sess != nil && sess.attempt >= kv.Try {
		http.Error(w, "a state of this or a later attempt exists", http.StatusConflict)
		return
	}
	e.sessions[k] = &session{
		attempt: kv.Try, to: kv.To, depth: depth, model: kv.Model, kv: state,
		lastUsed: time.Now(), orphaned: time.Now(),
	}
	w.WriteHeader(http.StatusNoContent)
}
