package order

import (
	"context"
	"slices"
	"time"

	"fulmarwick/internal/base/frame"
	"fulmarwick/internal/base/spec"
)

// maxRetryFactor limits the pause between two orders to an engine that does not follow
// them, as a multiple of RetryInterval.
const maxRetryFactor = 8

// ApplyReport stores an engine's report. A report with a lower Seq than the last one is
// late and is dropped, unless the engine restarted and counts from 1 again.
func (r *Reconciler) ApplyReport(engine spec.UpstreamID, e frame.Engine) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.reports == nil {
		r.reports = map[spec.UpstreamID]report{}
	}
	if old, ok := r.reports[engine]; ok && e.Seq < old.seq && e.Seq > 1 {
		return
	}
	r.reports[engine] = report{holds: slices.Clone(e.Holds), seq: e.Seq}
}

// RemoveReport removes an engine's report; the engine gets no orders until its next
// report.
func (r *Reconciler) RemoveReport(engine spec.UpstreamID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.reports, engine)
}

// Unsettled returns the engines that do not report their desired state, sorted by ID.
func (r *Reconciler) Unsettled() []spec.UpstreamID {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []spec.UpstreamID
	for _, id := range sortedIDs(r.rows) {
		if !r.isSettled(id) {
			out = append(out, id)
		}
	}
	return out
}

// Reconcile sends the orders that are due to engines that report a state other than the
// desired one. Orders do not exceed the rate of the weight store, and each order is sent
// only while the lease permits it. Reconcile returns how many orders it sent.
func (r *Reconciler) Reconcile(ctx context.Context) (int, error) {
	sent := 0
	if err := r.ensureAdopted(ctx); err != nil {
		return 0, err
	}
	if err := r.writePending(ctx); err != nil {
		return 0, err
	}
	for _, id := range r.Unsettled() {
		next, due := r.dueOrder(id)
		if !due {
			continue
		}
		guarded, cancel, fence, err := r.guardLease(ctx)
		if err != nil {
			return sent, err
		}
		if !r.isAdopted(fence) {
			cancel()
			return sent, ErrLeaseLost
		}
		next.Fence = fence
		err = r.Sender.SendOrder(guarded, id, next)
		cancel()
		r.recordOrder(id, next, err)
		sent++
	}
	return sent, nil
}

// isAdopted reports whether the desired states are adopted under the fencing token.
func (r *Reconciler) isAdopted(fence uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.adoptedFence == fence
}

// dueOrder returns the order for an engine and whether it must be sent now.
func (r *Reconciler) dueOrder(id spec.UpstreamID) (frame.Order, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	row, ok := r.rows[id]
	rep, seen := r.reports[id]
	switch {
	case !ok || !seen:
		return frame.Order{}, false
	case !row.lastSent.IsZero() && now.Sub(row.lastSent) < r.retryDelay(row.tries):
		return frame.Order{}, false
	case !r.checksFence(id) && r.Lease.HeldFor() < r.firstOrderDelay():
		return frame.Order{}, false
	}
	missing := missingLayers(row.state.Holds, rep.holds)
	if missing > 0 && now.Before(r.storeBusyUntil) {
		return frame.Order{}, false
	}
	r.reserveLoadTime(now, missing)
	return frame.Order{Holds: row.state.Holds, Role: row.state.Role}, true
}

// reserveLoadTime counts layers against the rate of the weight store. The layers of a
// repeated order count again, since the engine may have restarted loading.
func (r *Reconciler) reserveLoadTime(now time.Time, layers int) {
	rate := r.LayersPerSecond
	if rate == 0 {
		rate = defaultLayersPerSecond
	}
	if r.storeBusyUntil.Before(now) {
		r.storeBusyUntil = now
	}
	r.storeBusyUntil = r.storeBusyUntil.Add(time.Duration(float64(layers) / rate * float64(time.Second)))
}

// recordOrder records that an order was sent, which delays the next one. An error only
// leaves acceptedRole as it is: the order may have arrived, and only the engine's report
// shows whether it did.
func (r *Reconciler) recordOrder(id spec.UpstreamID, sent frame.Order, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	row, ok := r.rows[id]
	if !ok {
		return
	}
	if r.Meters != nil {
		r.Meters.GetOrCreateCounter("fulmarwick_orders_sent_total").Inc()
	}
	row.lastSent = r.now()
	row.tries++
	if err == nil {
		row.acceptedRole = sent.Role
	}
}

// isSettled reports whether the engine reports its desired state. An engine without a
// report counts as settled, since no order can be sent to it.
func (r *Reconciler) isSettled(id spec.UpstreamID) bool {
	rep, ok := r.reports[id]
	if !ok {
		return true
	}
	row := r.rows[id]
	return sameLayers(row.state.Holds, rep.holds) && (row.state.Role == "" || row.acceptedRole == row.state.Role)
}

func (r *Reconciler) checksFence(id spec.UpstreamID) bool {
	return r.ChecksFence != nil && r.ChecksFence(id)
}

func (r *Reconciler) firstOrderDelay() time.Duration {
	if r.FirstOrderDelay == 0 {
		return defaultFirstOrderDelay
	}
	return r.FirstOrderDelay
}

func (r *Reconciler) retryDelay(tries int) time.Duration {
	interval := r.RetryInterval
	if interval == 0 {
		interval = defaultRetryInterval
	}
	return interval * time.Duration(min(maxRetryFactor, max(1, tries)))
}

// missingLayers counts the layers of want that have does not contain in that version.
func missingLayers(want, have []frame.LoadedLayers) int {
	n := 0
	for _, w := range want {
		for layer := w.From; layer < w.To; layer++ {
			if !holdsLayer(have, w, layer) {
				n++
			}
		}
	}
	return n
}

func holdsLayer(have []frame.LoadedLayers, w frame.LoadedLayers, layer int) bool {
	for _, h := range have {
		if h.Model == w.Model && h.Version == w.Version && h.From <= layer && layer < h.To {
			return true
		}
	}
	return false
}

// sameLayers reports whether two sets of ranges contain the same layers of the same
// versions, regardless of how the ranges are split. Depth and width are determined by
// the engine and are not compared.
func sameLayers(a, b []frame.LoadedLayers) bool {
	return missingLayers(a, b) == 0 && missingLayers(b, a) == 0
}
