package stage

import (
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"

	"fulmarwick/internal/base/frame"
)

// Weights is a weight store that gives so many layers a second to all the
// engines that share it.
type Weights struct {
	Rate float64

	mu     sync.Mutex
	freeAt time.Time
}

// reserve takes the next turn for so many layers and returns how long until they
// are there.
func (w *Weights) reserve(layers int) time.Duration {
	if w == nil || w.Rate <= 0 || layers == 0 {
		return 0
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	if w.freeAt.Before(now) {
		w.freeAt = now
	}
	w.freeAt = w.freeAt.Add(time.Duration(float64(layers) / w.Rate * float64(time.Second)))
	return w.freeAt.Sub(now)
}

// handleOrder takes the state to end in: what is not wanted goes at once, what is
// missing comes when the weight store has given it.
func (e *Engine) handleOrder(w http.ResponseWriter, req *http.Request) {
	var o frame.Order
	if err := json.NewDecoder(http.MaxBytesReader(w, req.Body, frame.MaxBytes)).Decode(&o); err != nil {
		http.Error(w, "not an order", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.Fenced && o.Fence < e.fence {
		http.Error(w, "fencing number too old", http.StatusConflict)
		return
	}
	if e.Memory > 0 && layerCount(o.Holds) > e.Memory {
		http.Error(w, "more layers than memory", http.StatusUnprocessableEntity)
		return
	}
	e.fence = max(e.fence, o.Fence)
	if o.Role != "" {
		e.role = o.Role
	}
	e.orderCount++
	e.loaded = intersect(e.loaded, o.Holds)
	e.loadWeights(o.Holds, e.orderCount, e.epoch)
	w.WriteHeader(http.StatusAccepted)
}

func (e *Engine) loadWeights(want []frame.Hold, order, life uint64) {
	wait := e.Store.reserve(layerCount(want) - layerCount(e.loaded))
	if wait == 0 {
		e.loaded = slices.Clone(want)
		return
	}
	time.AfterFunc(wait, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.orderCount == order && e.epoch == life {
			e.loaded = slices.Clone(want)
		}
	})
}

// intersect is what of want is held already.
func intersect(held, want []frame.Hold) []frame.Hold {
	var out []frame.Hold
	for _, w := range want {
		for _, h := range held {
			if h.Model != w.Model || h.Version != w.Version {
				continue
			}
			part := w
			part.From, part.To = max(w.From, h.From), min(w.To, h.To)
			if part.From < part.To {
				out = append(out, part)
			}
		}
	}
	return out
}

func layerCount(holds []frame.Hold) int {
	n := 0
	for _, h := range holds {
		n += h.To - h.From
	}
	return n
}
