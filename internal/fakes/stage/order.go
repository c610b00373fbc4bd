package stage

import (
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"

	"fulmarwick/internal/base/frame"
)

// WeightStore is a weight store shared by several engines. It serves Rate layers
// per second in total.
type WeightStore struct {
	Rate float64

	mu     sync.Mutex
	freeAt time.Time
}

// reserve queues the transfer of a number of layers and returns the time until
// it completes.
func (w *WeightStore) reserve(count int) time.Duration {
	if w == nil || w.Rate <= 0 || count == 0 {
		return 0
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	if w.freeAt.Before(now) {
		w.freeAt = now
	}
	w.freeAt = w.freeAt.Add(time.Duration(float64(count) / w.Rate * float64(time.Second)))
	return w.freeAt.Sub(now)
}

// handleOrder accepts a load order, which lists the ranges to hold. Ranges that
// are not in the order are unloaded at once. Missing ranges are available after
// the weight store has delivered them.
func (e *Engine) handleOrder(w http.ResponseWriter, req *http.Request) {
	var order frame.Order
	if err := json.NewDecoder(http.MaxBytesReader(w, req.Body, frame.MaxBytes)).Decode(&order); err != nil {
		http.Error(w, "body is not a valid order", http.StatusBadRequest)
		return
	}
	e.lock()
	defer e.mu.Unlock()
	if e.Fenced && order.Fence < e.fence {
		http.Error(w, "fencing number too old", http.StatusConflict)
		return
	}
	if e.Memory > 0 && layerCount(order.Holds) > e.Memory {
		http.Error(w, "layers exceed memory", http.StatusUnprocessableEntity)
		return
	}
	e.fence = max(e.fence, order.Fence)
	if order.Role != "" {
		e.role = order.Role
	}
	e.orderCount++
	e.loaded = intersect(e.loaded, order.Holds)
	e.loadWeights(order.Holds, e.orderCount, e.epoch)
	w.WriteHeader(http.StatusAccepted)
}

// loadWeights loads the wanted ranges after the delay of the weight store,
// unless a later order or a crash happens first.
func (e *Engine) loadWeights(want []frame.LoadedLayers, order, epoch uint64) {
	delay := e.WeightStore.reserve(layerCount(want) - layerCount(e.loaded))
	if delay == 0 {
		e.loaded = slices.Clone(want)
		return
	}
	time.AfterFunc(delay, func() {
		e.lock()
		defer e.mu.Unlock()
		if e.orderCount == order && e.epoch == epoch {
			e.loaded = slices.Clone(want)
		}
	})
}

// intersect returns the parts of want that are already loaded.
func intersect(loaded, want []frame.LoadedLayers) []frame.LoadedLayers {
	var out []frame.LoadedLayers
	for _, w := range want {
		for _, h := range loaded {
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

func layerCount(holds []frame.LoadedLayers) int {
	n := 0
	for _, h := range holds {
		n += h.To - h.From
	}
	return n
}
