// Package desk is a stand-in for a plain service that records payments or
// bookings. It counts how often each key ran.
//
// It imports the standard library and the router library. The trial command
// and tests run it.
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
	Name string
	// Delay is how long a call takes.
	Delay time.Duration

	mu   sync.Mutex
	runs map[string]int
	cut  int
}

// answer is what a call returns.
type answer struct {
	Service string `json:"service"`
	Key     string `json:"key"`
	Run     int    `json:"run"`
}

// Runs is how often the call with key ran.
func (d *Desk) Runs(key string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.runs[key]
}

// Cut makes the next n calls run and then drop their connection unanswered.
func (d *Desk) Cut(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cut = n
}

// Handler serves POST /v1/calls/{class} and GET /v1/outcomes/{key}.
func (d *Desk) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/v1/calls/{class}", d.call).Methods(http.MethodPost)
	r.HandleFunc("/v1/outcomes/{key}", d.outcome).Methods(http.MethodGet)
	return r
}

func (d *Desk) call(w http.ResponseWriter, req *http.Request) {
	_, _ = io.Copy(io.Discard, req.Body)
	key := req.Header.Get("Idempotency-Key")
	if d.Delay > 0 {
		time.Sleep(d.Delay)
	}
	n, cut := d.record(key)
	if cut {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(answer{Service: d.Name, Key: key, Run: n})
}

func (d *Desk) record(key string) (n int, cut bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.runs == nil {
		d.runs = map[string]int{}
	}
	d.runs[key]++
	if d.cut > 0 {
		d.cut--
		cut = true
	}
	return d.runs[key], cut
}

func (d *Desk) outcome(w http.ResponseWriter, req *http.Request) {
	key := mux.Vars(req)["key"]
	if d.Runs(key) == 0 {
		http.Error(w, "not run", http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(answer{Service: d.Name, Key: key, Run: d.Runs(key)})
}
