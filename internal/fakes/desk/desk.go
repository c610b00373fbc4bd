// Package desk is a stand-in for a plain service that records payments or
// bookings. It counts how often it ran the call with each key.
//
// It imports the standard library and gorilla/mux. The trial command and tests
// run it.
package desk

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"
)

// Desk is a stand-in service. Set the exported fields before serving.
type Desk struct {
	// Name is the name of the service in its responses.
	Name string
	// Delay is how long a call takes.
	Delay time.Duration

	mu        sync.Mutex
	runs      map[string]int
	outcomes  map[outcomeKey]int
	cutsLeft  int
	dropsLeft int
	// active is the number of calls in progress.
	active int
	// extraActive is the number of calls that a test adds to load reports.
	extraActive int
	leaving     bool
}

// outcomeKey identifies an outcome. Two teams may use the same idempotency key.
type outcomeKey struct {
	team, class, key string
}

// callResult is the body of the response to a call.
type callResult struct {
	Service string `json:"service"`
	Key     string `json:"key"`
	Run     int    `json:"run"`
}

// loadReport is the body of a load report.
type loadReport struct {
	State  string `json:"state"`
	Active int    `json:"active"`
	Queued int    `json:"queued"`
}

// Runs returns how often the call with key ran.
func (d *Desk) Runs(key string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.runs[key]
}

// CutReplies makes the next n calls run and then close their connection without a
// response.
func (d *Desk) CutReplies(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cutsLeft = n
}

// DropRequests makes the next n calls read their request and close the connection without
// running.
func (d *Desk) DropRequests(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.dropsLeft = n
}

// SetExtraActive adds n calls of other callers to the active calls in load reports.
func (d *Desk) SetExtraActive(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.extraActive = n
}

// SetLeaving sets whether load reports give the state as leaving or live.
func (d *Desk) SetLeaving(leaving bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.leaving = leaving
}

// Handler returns a handler of POST /v1/calls/{class}, GET /v1/outcomes/{key} and
// GET /v1/load.
func (d *Desk) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/v1/calls/{class}", d.call).Methods(http.MethodPost)
	r.HandleFunc("/v1/load", d.load).Methods(http.MethodGet)
	r.HandleFunc("/v1/outcomes/{key}", d.outcome).Methods(http.MethodGet)
	return r
}

func (d *Desk) load(w http.ResponseWriter, _ *http.Request) {
	d.mu.Lock()
	defer d.mu.Unlock()
	state := "live"
	if d.leaving {
		state = "leaving"
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(loadReport{State: state, Active: d.active + d.extraActive})
}

func (d *Desk) addActive(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.active += n
}

func (d *Desk) call(w http.ResponseWriter, req *http.Request) {
	d.addActive(1)
	defer d.addActive(-1)
	_, _ = io.Copy(io.Discard, req.Body)
	key := req.Header.Get("Idempotency-Key")
	if d.Delay > 0 {
		time.Sleep(d.Delay)
	}
	if d.dropRequest() {
		panic(http.ErrAbortHandler)
	}
	n, cut := d.record(outcomeKey{team: req.Header.Get("X-Team"), class: mux.Vars(req)["class"], key: key})
	if cut {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(callResult{Service: d.Name, Key: key, Run: n})
}

func (d *Desk) dropRequest() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.dropsLeft == 0 {
		return false
	}
	d.dropsLeft--
	return true
}

func (d *Desk) record(k outcomeKey) (n int, cut bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.runs == nil {
		d.runs = map[string]int{}
		d.outcomes = map[outcomeKey]int{}
	}
	d.runs[k.key]++
	d.outcomes[k]++
	if d.cutsLeft > 0 {
		d.cutsLeft--
		cut = true
	}
	return d.runs[k.key], cut
}

func (d *Desk) outcome(w http.ResponseWriter, req *http.Request) {
	key := mux.Vars(req)["key"]
	d.mu.Lock()
	n := d.outcomes[outcomeKey{team: req.Header.Get("X-Team"), class: req.Header.Get("X-Class"), key: key}]
	d.mu.Unlock()
	if n == 0 {
		http.Error(w, "not known", http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(callResult{Service: d.Name, Key: key, Run: n})
}
