package domain

import (
	"sort"
	"time"

	"fulmarwick/internal/base/spec"
)

// deadReportHold is how long reports of a dead engine are ignored. They may
// have been in transit when it died, and accepting one would send work to a
// dead engine until the next notice of its death.
const deadReportHold = time.Second

// Engines is the table of engines in order of ID.
type Engines struct {
	rows  []*Engine
	byID  map[spec.UpstreamID]*Engine
	index Index
}

// Rows returns all engines in order of ID. The caller must not change the
// slice.
func (t *Engines) Rows() []*Engine { return t.rows }

// Get returns the engine, or nil if it is not known.
func (t *Engines) Get(id spec.UpstreamID) *Engine { return t.byID[id] }

// Index returns the index that finds the engines of a model.
func (t *Engines) Index() *Index { return &t.index }

func (t *Engines) applyReport(now time.Duration, report Engine) {
	e := t.byID[report.ID]
	if e == nil {
		e = &report
		t.insert(e)
		t.index.addEngine(e)
		e.updateUnexplained()
		return
	}
	restarted := report.Incarnation != e.Incarnation
	if e.state == StateDead {
		if now < e.deadAt+deadReportHold {
			return
		}
		// Engines that report no incarnation restart their sequence numbers
		// from one after a restart.
		restarted = restarted || report.Seq < e.Seq
	}
	if !restarted && report.Seq <= e.Seq {
		return
	}
	t.update(e, &report, restarted)
}

func (t *Engines) update(e, report *Engine, restarted bool) {
	changed := !sameRanges(e.Loaded, report.Loaded) || e.LayerTime != report.LayerTime || e.Slots != report.Slots
	state := e.state
	// A leaving engine that still reports is still leaving. Only a restart or
	// its removal from the list ends that state. Otherwise a late report from
	// before the signal would direct new work to it again.
	if restarted || state == StateDead {
		state = StateServing
	}
	if changed || state != e.state {
		t.index.removeEngine(e)
	}
	report.state, report.localRequests, report.load = state, e.localRequests, e.load
	report.hop, report.cooldown, report.deadAt, report.groups = e.hop, e.cooldown, e.deadAt, e.groups
	*e = *report
	if changed || len(e.groups) == 0 {
		t.index.addEngine(e)
	}
	e.updateUnexplained()
}

func (t *Engines) insert(e *Engine) {
	if t.byID == nil {
		t.byID = map[spec.UpstreamID]*Engine{}
	}
	t.byID[e.ID] = e
	at := t.position(e.ID)
	t.rows = append(t.rows, nil)
	copy(t.rows[at+1:], t.rows[at:])
	t.rows[at] = e
}

func (t *Engines) position(id spec.UpstreamID) int {
	return sort.Search(len(t.rows), func(i int) bool { return t.rows[i].ID >= id })
}

func (t *Engines) remove(id spec.UpstreamID) {
	e := t.byID[id]
	if e == nil {
		return
	}
	t.index.removeEngine(e)
	delete(t.byID, id)
	at := t.position(id)
	t.rows = append(t.rows[:at], t.rows[at+1:]...)
}

func (t *Engines) setSilent(now time.Duration, id spec.UpstreamID) {
	if e := t.byID[id]; e != nil && !e.silent {
		e.silent, e.silentAt = true, now
	}
}

func (t *Engines) setState(now time.Duration, id spec.UpstreamID, state State) {
	e := t.byID[id]
	if e == nil {
		return
	}
	if state == StateDead {
		e.deadAt = now
	}
	if e.state == state || (e.state == StateLeaving && state == StateDead) {
		return
	}
	e.state = state
	t.index.removeEngine(e)
}
