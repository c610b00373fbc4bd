package world

import (
	"time"

	"fulmarwick/internal/base/spec"
)

// Hold is a layer range of one version of a model that an engine has loaded.
type Hold struct {
	Model   spec.ModelName
	Version string
	Depth   int
	Layers  spec.Layers
	// Width is the bytes of one hidden value between layers.
	Width int
}

// Engine is a row of the engine table. The exported fields are what the
// engine reports; they lag.
type Engine struct {
	ID         spec.UpstreamID
	DataCentre spec.DataCentre
	Kind       string
	Holds      []Hold
	// Layer is the time for one token through one layer.
	Layer time.Duration
	// Slots is how many requests the engine batches at once.
	Slots int
	// Memory is in layers, Cache and Cached in KV tokens.
	Memory int
	Cache  int
	Cached int
	Queued int
	Active int
	// Hop is the time of one hop to the engine.
	Hop time.Duration
	// Bandwidth of the link to the engine is in bytes a second; zero is
	// unbounded.
	Bandwidth int64
	// Seq orders reports: one with a lower number is ignored.
	Seq uint64

	state State
	// own is how many requests of this instance run on the engine.
	own int
}

// State is how routing sees the engine.
func (e *Engine) State() State { return e.state }

// Own is how many requests of this instance use the engine.
func (e *Engine) Own() int { return e.own }

// Engines is the table of engines in order of ID.
type Engines struct {
	rows  []*Engine
	index map[spec.UpstreamID]*Engine
}

// Rows are all engines in order of ID; the caller must not change the slice.
func (t *Engines) Rows() []*Engine { return t.rows }

// Get returns the engine, or nil if it is not known.
func (t *Engines) Get(id spec.UpstreamID) *Engine { return t.index[id] }

func (t *Engines) see(report Engine) {
	old := t.index[report.ID]
	if old == nil {
		t.insert(&report)
		return
	}
	if report.Seq <= old.Seq {
		return
	}
	report.state = old.state
	report.own = old.own
	if old.state == StateDown {
		report.state = StateServing
	}
	*old = report
}

func (t *Engines) insert(e *Engine) {
	if t.index == nil {
		t.index = map[spec.UpstreamID]*Engine{}
	}
	t.index[e.ID] = e
	at := 0
	for at < len(t.rows) && t.rows[at].ID < e.ID {
		at++
	}
	t.rows = append(t.rows, nil)
	copy(t.rows[at+1:], t.rows[at:])
	t.rows[at] = e
}

func (t *Engines) remove(id spec.UpstreamID) {
	if t.index[id] == nil {
		return
	}
	delete(t.index, id)
	for i, e := range t.rows {
		if e.ID == id {
			t.rows = append(t.rows[:i], t.rows[i+1:]...)
			return
		}
	}
}

func (t *Engines) mark(id spec.UpstreamID, s State) {
	if e := t.index[id]; e != nil {
		e.state = s
	}
}
