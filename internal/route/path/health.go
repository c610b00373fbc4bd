package path

import (
	"time"

	"fulmarwick/internal/base/site"
	"fulmarwick/internal/base/spec"
)

// Heard takes an engine's report: it answers, at that pace. It returns false if
// the engine is not the one that is listed or holds less since it started anew,
// so that it is as good as dead until the list shows what it holds. One that
// holds less since it was told to hold other layers serves on what passes them,
// and gets nothing new until the list shows what it holds.
func (t *Table) Heard(now time.Duration, id spec.UpstreamID, r site.Report) bool {
	e := t.byID[id]
	if e == nil {
		return true
	}
	if r.Born != 0 && r.Born != e.up.Born {
		return false
	}
	if !r.Held.Layers.Covers(e.up.Held.Layers) {
		// A start clears the count of orders.
		if r.Orders == 0 {
			return false
		}
		e.rest = max(e.rest, now+changing)
	}
	e.down = false
	if r.Pace > 0 {
		e.said, e.saidAt = r.Pace, now
		t.sum()
	}
	return true
}

// Slow are the engines that said here that they are slow. After forget it
// counts no more: they may have recovered.
func (t *Table) Slow(now time.Duration) map[spec.UpstreamID]float64 {
	out := map[spec.UpstreamID]float64{}
	for _, e := range t.engines {
		if e.said > slow && now-e.saidAt < forget {
			out[e.up.ID] = e.said
		} else if e.said > slow {
			e.said = 1
			t.sum()
		}
	}
	return out
}

const (
	// slow is the pace from which an engine counts as slow; reports of sound
	// ones differ by a few percent.
	slow = 1.15
	// forget is how long what an engine said of its pace counts without being
	// said again.
	forget = 4 * time.Second
)

// Paced takes what engines told another instance; nil forgets it.
func (t *Table) Paced(from spec.InstanceID, paces map[spec.UpstreamID]float64) {
	if len(paces) == 0 && len(t.paces[from]) == 0 {
		return
	}
	if t.paces == nil {
		t.paces = map[spec.InstanceID]map[spec.UpstreamID]float64{}
	}
	t.paces[from] = paces
	t.sum()
}

// Down marks an engine that does not answer. It gets no requests until it is
// heard of again. It returns false if there is nothing new in that.
func (t *Table) Down(id spec.UpstreamID, born int64) bool {
	e := t.byID[id]
	if e == nil || e.down || e.up.Born != born {
		return false
	}
	e.down = true
	return true
}

// Rest gives an engine no new requests until a time.
func (t *Table) Rest(id spec.UpstreamID, until time.Duration) {
	if e := t.byID[id]; e != nil {
		e.rest = until
	}
}

const (
	// changing is how long an engine gets no new runs that changes its layers:
	// the list shows it within a heartbeat.
	changing = 1200 * time.Millisecond
	// refusedRest is how long an engine that refused a run gets no new one: what
	// it holds and whether it leaves is known from the list by then, or the crowd
	// on it has turned over.
	refusedRest = 300 * time.Millisecond
	// refusedMost bounds the rest of an engine that goes on refusing. One that
	// was told to hold other layers refuses for seconds, until it has loaded them
	// and the list shows them; asked again and again by every instance, it would use
	// up the bound on repeats.
	refusedMost = 2400 * time.Millisecond
)

// Refused gives an engine that refused a run no new ones for a while, twice as
// long as before if it has served none since.
func (t *Table) Refused(now time.Duration, id spec.UpstreamID) {
	e := t.byID[id]
	if e == nil || now < e.rest {
		return
	}
	e.refused = min(refusedMost, max(refusedRest, 2*e.refused))
	e.rest = now + e.refused
}

// Silent reports whether an engine that is listed does not answer.
func (t *Table) Silent(id spec.UpstreamID) bool {
	e := t.byID[id]
	return e != nil && e.down
}

// Dead reports whether an engine does not answer or is no longer listed.
func (t *Table) Dead(id spec.UpstreamID) bool {
	e := t.byID[id]
	return e == nil || e.down
}

// Downs are the engines that do not answer.
func (t *Table) Downs() []site.Upstream {
	var out []site.Upstream
	for _, e := range t.engines {
		if e.down {
			out = append(out, e.up)
		}
	}
	return out
}

func (e *engine) usable(now time.Duration) bool {
	return !e.down && now >= e.rest && e.up.State == site.StateReady && e.up.Held.Layers.Len() > 0
}

// see notes since when an engine takes requests.
func (t *Table) see(now time.Duration, e *engine) {
	switch {
	case !e.usable(now):
		e.since = 0
	case e.since == 0:
		e.since = max(now, 1)
		if t.since == 0 {
			t.since = e.since
		}
	}
}
