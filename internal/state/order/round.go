package order

import (
	"context"
	"slices"
	"time"

	"fulmarwick/internal/base/frame"
	"fulmarwick/internal/base/spec"
)

// maxBackoff bounds the pause between two orders to an engine that does not
// follow, in units of Retry.
const maxBackoff = 8

// Seen takes an engine's report. A report with a lower Seq than the last one
// is late and dropped, unless the engine restarted and counts from 1 again.
func (o *Orders) Seen(engine spec.UpstreamID, e frame.Engine) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.seen == nil {
		o.seen = map[spec.UpstreamID]report{}
	}
	if old, ok := o.seen[engine]; ok && e.Seq < old.seq && e.Seq > 1 {
		return
	}
	o.seen[engine] = report{holds: slices.Clone(e.Holds), seq: e.Seq}
}

// Gone forgets an engine's report; it gets no orders until the next one.
func (o *Orders) Gone(engine spec.UpstreamID) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.seen, engine)
}

// Open lists the engines that do not report what they should hold, in order.
func (o *Orders) Open() []spec.UpstreamID {
	o.mu.Lock()
	defer o.mu.Unlock()
	var out []spec.UpstreamID
	for _, id := range sorted(o.wanted) {
		if !o.settled(id) {
			out = append(out, id)
		}
	}
	return out
}

// Round sends the orders that are due: to engines that report another state
// than the desired one, no faster than the weight store gives, and each only
// while the lease allows. It returns how many it sent.
func (o *Orders) Round(ctx context.Context) (int, error) {
	sent := 0
	if err := o.known(ctx); err != nil {
		return 0, err
	}
	if err := o.rewrite(ctx); err != nil {
		return 0, err
	}
	for _, id := range o.Open() {
		ord, due := o.due(id)
		if !due {
			continue
		}
		act, cancel, fence, err := o.guard(ctx)
		if err != nil {
			return sent, err
		}
		if !o.current(fence) {
			cancel()
			return sent, ErrLapsed
		}
		ord.Fence = fence
		err = o.Engines.Order(act, id, ord)
		cancel()
		o.ordered(id, ord, err)
		sent++
	}
	return sent, nil
}

// current reports whether the desired state is adopted under the number.
func (o *Orders) current(fence uint64) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.fence == fence
}

// due returns the order for an engine and whether to send it now.
func (o *Orders) due(id spec.UpstreamID) (frame.Order, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.now()
	w, ok := o.wanted[id]
	r, seen := o.seen[id]
	switch {
	case !ok || !seen:
		return frame.Order{}, false
	case !w.sent.IsZero() && now.Sub(w.sent) < o.retry(w.tries):
		return frame.Order{}, false
	case !o.checks(id) && o.Lease.Since() < o.wait():
		return frame.Order{}, false
	}
	load := missing(w.desired.Holds, r.holds)
	if load > 0 && now.Before(o.free) {
		return frame.Order{}, false
	}
	o.spend(now, load)
	return frame.Order{Holds: w.desired.Holds, Role: w.desired.Role}, true
}

// spend counts layers against the weight store's rate. What is ordered again
// counts again: the engine may have begun anew.
func (o *Orders) spend(now time.Time, layers int) {
	rate := o.Rate
	if rate == 0 {
		rate = defaultRate
	}
	if o.free.Before(now) {
		o.free = now
	}
	o.free = o.free.Add(time.Duration(float64(layers) / rate * float64(time.Second)))
}

// ordered notes an order. An error changes nothing but the pause: the order
// may have arrived, and only the report tells.
func (o *Orders) ordered(id spec.UpstreamID, ord frame.Order, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	w, ok := o.wanted[id]
	if !ok {
		return
	}
	if o.Meters != nil {
		o.Meters.GetOrCreateCounter("fulmarwick_orders_sent_total").Inc()
	}
	w.sent = o.now()
	w.tries++
	if err == nil {
		w.accepted = ord.Role
	}
}

// settled reports whether the engine reports its desired state. One that does
// not report at all is not open: there is nobody to order.
func (o *Orders) settled(id spec.UpstreamID) bool {
	r, ok := o.seen[id]
	if !ok {
		return true
	}
	w := o.wanted[id]
	return same(w.desired.Holds, r.holds) && (w.desired.Role == "" || w.accepted == w.desired.Role)
}

func (o *Orders) checks(id spec.UpstreamID) bool { return o.Checks != nil && o.Checks(id) }

func (o *Orders) wait() time.Duration {
	if o.Wait == 0 {
		return defaultWait
	}
	return o.Wait
}

func (o *Orders) retry(tries int) time.Duration {
	d := o.Retry
	if d == 0 {
		d = defaultRetry
	}
	return d * time.Duration(min(maxBackoff, max(1, tries)))
}

// missing counts the layers of want that have does not hold in that version.
func missing(want, have []frame.Hold) int {
	n := 0
	for _, w := range want {
		for layer := w.From; layer < w.To; layer++ {
			if !holds(have, w, layer) {
				n++
			}
		}
	}
	return n
}

func holds(have []frame.Hold, w frame.Hold, layer int) bool {
	for _, h := range have {
		if h.Model == w.Model && h.Version == w.Version && h.From <= layer && layer < h.To {
			return true
		}
	}
	return false
}

// same reports whether two sets of ranges hold the same layers of the same
// versions, however they are cut. Depth and width are the engine's to tell.
func same(a, b []frame.Hold) bool { return missing(a, b) == 0 && missing(b, a) == 0 }
