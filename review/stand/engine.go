package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The model that all engines run. One engine holds all of its layers.
const (
	layers         = 20
	layerMB        = 1750.0
	cardMB         = 43200.0
	cardPace       = 5.6
	cardReadFactor = 2.7
	stepMS         = 1.02
	readPerSecond  = 105000.0
	stride         = 3
	loadSeconds    = 14.0
	kvTokenBytes   = 100000
	engineSlots    = 192
	heartbeat      = 1200 * time.Millisecond
)

// eventInterval is the time of an event: some steps on the card of the engines.
const eventInterval = time.Duration(stride * stepMS * cardPace * float64(time.Millisecond))

// modelEngine is one engine of the model service.
type modelEngine struct {
	id, address, zone, service string
	store                      *store
	record                     *record
	born                       int64

	mu           sync.Mutex
	from, to     int
	loading      bool
	orders       int
	active       int
	prefillUntil time.Time
}

// register writes the row of the engine now and at each heartbeat until ctx ends.
func (e *modelEngine) register(ctx context.Context) {
	e.born = time.Now().UnixMilli()
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for n := 1; ctx.Err() == nil; n++ {
		e.writeRow(n)
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
}

func (e *modelEngine) writeRow(sequence int) {
	e.store.put("servers", e.id, map[string]any{
		"service": e.service, "address": e.address, "zone": e.zone, "version": "v1", "slots": engineSlots, "state": "ready",
		"cold-remaining-ms": 0, "sequence": sequence, "kind": "l40s", "layers": e.held(), "born": e.born,
	})
}

// held returns the layers that the engine reports.
func (e *modelEngine) held() any {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.loading || e.to == 0 {
		return nil
	}
	return map[string]int{"from": e.from, "to": e.to, "version": 1}
}

// ServeHTTP serves reports, orders, health checks and requests.
func (e *modelEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != e.id {
		w.Header().Set("Instance-Id", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/report":
		e.report(w)
	case "/order":
		e.order(w, r)
	case "/health":
		w.Header().Set("Instance-Id", e.id)
		w.WriteHeader(http.StatusOK)
	default:
		e.serve(w, r)
	}
}

func (e *modelEngine) report(w http.ResponseWriter) {
	held := e.held()
	e.mu.Lock()
	body := map[string]any{
		"stage": "both", "busy": e.loading, "sequence": e.orders, "queued": 0, "active": e.active, "kv-used": 0,
		"kv-total": 82000 * layers, "handles": 0, "pace": 1.0, "born": e.born, "stalled": []any{}, "layers": held,
	}
	e.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}

// orderBody is a place order.
type orderBody struct {
	Operation string `json:"operation"`
	From      int    `json:"from"`
	To        int    `json:"to"`
	Expected  *int   `json:"expected-revision"`
}

func (e *modelEngine) order(w http.ResponseWriter, r *http.Request) {
	var o orderBody
	err := json.NewDecoder(r.Body).Decode(&o)
	if err != nil || o.Operation != "place" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if o.Expected != nil && *o.Expected != e.orders || e.loading {
		w.WriteHeader(http.StatusConflict)
		return
	}
	if e.from == o.From && e.to == o.To {
		w.WriteHeader(http.StatusOK)
		return
	}
	e.orders++
	e.loading = true
	// Loads before the first request take a tenth of the time.
	took := time.Duration(loadSeconds / 10 * float64(o.To-o.From) / layers * float64(time.Second))
	time.AfterFunc(took, func() {
		e.mu.Lock()
		e.from, e.to, e.loading = o.From, o.To, false
		e.mu.Unlock()
	})
	w.WriteHeader(http.StatusAccepted)
}

// holdsPath reports whether the path of a request is this engine alone with all layers.
func (e *modelEngine) holdsPath(path string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	whole := e.from == 0 && e.to == layers && !e.loading
	return whole && (path == "" || path == fmt.Sprintf("%s=0-%d", e.address, layers))
}

// refuse answers that the request has not run.
func (e *modelEngine) refuse(w http.ResponseWriter, status int) {
	w.Header().Set("Not-Executed", "1")
	w.Header().Set("At-Server", e.address)
	w.WriteHeader(status)
}

// prefill waits for the prompts before this one and for its own.
func (e *modelEngine) prefill(ctx context.Context, tokens int) {
	e.mu.Lock()
	now := time.Now()
	if e.prefillUntil.Before(now) {
		e.prefillUntil = now
	}
	e.prefillUntil = e.prefillUntil.Add(time.Duration(cardReadFactor * float64(tokens) / readPerSecond * float64(time.Second)))
	until := e.prefillUntil
	e.mu.Unlock()
	sleep(ctx, time.Until(until))
}

func (e *modelEngine) addActive(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.active += n
}

func (e *modelEngine) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	prompt, answer, ok := tokenCount(r.Header.Get("Token-Count"))
	switch {
	case id == "" || !ok:
		e.refuse(w, http.StatusBadRequest)
		return
	case !e.holdsPath(r.Header.Get("Hop-Count")):
		e.refuse(w, http.StatusMisdirectedRequest)
		return
	}
	e.addActive(1)
	defer e.addActive(-1)
	e.record.reached(id, e.id)
	e.prefill(r.Context(), prompt)
	h := w.Header()
	h.Set("Request-Id", id)
	h.Set("Server-Seal", "seal."+e.id+"."+id)
	h.Set("Content-Type", "text/event-stream")
	h.Set("Weight-Versions", "1")
	control := http.NewResponseController(w)
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for n := last + 1; n <= answer/stride && r.Context().Err() == nil; n++ {
		sleep(r.Context(), eventInterval)
		if r.Context().Err() != nil {
			return
		}
		e.record.ran(id, e.id)
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s.%d\n\n", n, id, n)
		_ = control.Flush()
	}
}

// tokenCount parses the numbers of prompt tokens and of answer tokens.
func tokenCount(text string) (prompt, answer int, ok bool) {
	a, b, _ := strings.Cut(text, ",")
	prompt, err := strconv.Atoi(a)
	answer, answerErr := strconv.Atoi(b)
	return prompt, answer, err == nil && answerErr == nil
}

// sleep waits for a time or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
