package order

import (
	"context"
	"slices"
	"time"

	"fulmarwick/internal/base/frame"
	"fulmarwick/internal/base/spec"
)

// maxRetryFactor bounds the pause between two orders to an engine that does not
// follow, in units of Retry.
const maxRetryFactor = 8

// ApplyReport takes an engine's report. A report with a lower Seq than the last one
// is late and dropped, unless the engine restarted and counts from 1 again.
func (o *Reconciler) ApplyReport(engine spec.UpstreamID, e frame.Engine) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.reports == nil {
		o.reports = map[spec.UpstreamID]report{}
	}
	if old, ok := o.reports[engine]; ok && e.Seq < old.seq && e.Seq > 1 {
		return
	}
	o.reports[engine] = report{holds: slices.Clone(e.Holds), seq: e.Seq}
}

// RemoveReport forgets an engine's report; it gets no orders until the next one.
func (o *Reconciler) RemoveReport(engine spec.UpstreamID) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.reports, engine)
}

// Unsettled lists the engines that do not report what they should hold, in order.
func (o *Reconciler) Unsettled() []spec.UpstreamID {
	o.mu.Lock()
	defer o.mu.Unlock()
	var out []spec.UpstreamID
	for _, id := range sortedIDs(o.rows) {
		if !o.isSettled(id) {
			out = append(out, id)
		}
	}
	return out
}

// Reconcile sends the orders that are due: to engines that report another state
// than the desired one, no faster than the weight store gives, and each only
// while the lease allows. It returns how many it sent.
func (o *Reconciler) Reconcile(ctx context.Context) (int, error) {
	sent := 0
	if err := o.ensureAdopted(ctx); err != nil {
		return 0, err
	}
	if err := o.writePending(ctx); err != nil {
		return 0, err
	}
	for _, id := range o.Unsettled() {
		ord, due := o.dueOrder(id)
		if !due {
			continue
		}
		act, cancel, fence, err := o.guardLease(ctx)
		if err != nil {
			return sent, err
		}
		if !o.isAdopted(fence) {
			cancel()
			return sent, ErrLeaseLost
		}
		ord.Fence = fence
		err = o.Sender.SendOrder(act, id, ord)
		cancel()
		o.recordOrder(id, ord, err)
		sent++
	}
	return sent, nil
}

// isAdopted reports whether the desired state is adopted under the number.
func (o *Reconciler) isAdopted(fence uint64) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.adoptedFence == fence
}

// dueOrder returns the order for an engine and whether to send it now.
func (o *Reconciler) dueOrder(id spec.UpstreamID) (frame.Order, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.now()
	w, ok := o.rows[id]
	r, seen := o.reports[id]
	switch {
	case !ok || !seen:
		return frame.Order{}, false
	case !w.lastSent.IsZero() && now.Sub(w.lastSent) < o.retryDelay(w.tries):
		return frame.Order{}, false
	case !o.checksFence(id) && o.Lease.HeldFor() < o.firstOrderDelay():
		return frame.Order{}, false
	}
	load := missingLayers(w.state.Holds, r.holds)
	if load > 0 && now.Before(o.storeBusyUntil) {
		return frame.Order{}, false
	}
	o.reserveLoadTime(now, load)
	return frame.Order{Holds: w.state.Holds, Role: w.state.Role}, true
}

// reserveLoadTime counts layers against the weight store's rate. What is ordered again
// counts again: the engine may have begun anew.
func (o *Reconciler) reserveLoadTime(now time.Time, layers int) {
	rate := o.LayersPerSecond
	if rate == 0 {
		rate = defaultLayersPerSecond
	}
	if o.storeBusyUntil.Before(now) {
		o.storeBusyUntil = now
	}
	o.storeBusyUntil = o.storeBusyUntil.Add(time.Duration(float64(layers) / rate * float64(time.Second)))
}

// recordOrder notes an order. An error changes nothing but the pause: the order
// may have arrived, and only the report tells.
func (o *Reconciler) recordOrder(id spec.UpstreamID, ord frame.Order, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	w, ok := o.rows[id]
	if !ok {
		return
	}
	if o.Meters != nil {
		o.Meters.GetOrCreateCounter("fulmarwick_orders_sent_total").Inc()
	}
	w.lastSent = o.now()
	w.tries++
	if err == nil {
		w.acceptedRole = ord.Role
	}
}

// isSettled reports whether the engine reports its desired state. One that does
// not report at all is not open: there is nobody to order.
func (o *Reconciler) isSettled(id spec.UpstreamID) bool {
	r, ok := o.reports[id]
	if !ok {
		return true
	}
	w := o.rows[id]
	return sameLayers(w.state.Holds, r.holds) && (w.state.Role == "" || w.acceptedRole == w.state.Role)
}

func (o *Reconciler) checksFence(id spec.UpstreamID) bool {
	return o.ChecksFence != nil && o.ChecksFence(id)
}

func (o *Reconciler) firstOrderDelay() time.Duration {
	if o.FirstOrderDelay == 0 {
		return defaultFirstOrderDelay
	}
	return o.FirstOrderDelay
}

func (o *Reconciler) retryDelay(tries int) time.Duration {
	d := o.RetryInterval
	if d == 0 {
		d = defaultRetryInterval
	}
	return d * time.Duration(min(maxRetryFactor, max(1, tries)))
}

// missingLayers counts the layers of want that have does not hold in that version.
func missingLayers(want, have []frame.Hold) int {
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

func holdsLayer(have []frame.Hold, w frame.Hold, layer int) bool {
	for _, h := range have {
		if h.Model == w.Model && h.Version == w.Version && h.From <= layer && layer < h.To {
			return true
		}
	}
	return false
}

// sameLayers reports whether two sets of ranges hold the same layers of the same
// versions, however they are cut. Depth and width are the engine's to tell.
func sameLayers(a, b []frame.Hold) bool { return missingLayers(a, b) == 0 && missingLayers(b, a) == 0 }
