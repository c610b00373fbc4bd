package world

import (
	"time"

	"fulmarwick/internal/base/spec"
)

// peers is what other instances told.
type peers struct {
	loads map[spec.InstanceID]map[spec.UpstreamID]peerLoad
	ids   []spec.InstanceID
	// told is set once a PeersSet named the peers.
	told bool
}

// peerLoad is what one peer has on one engine.
type peerLoad struct {
	draw   int64
	active int
}

// Peers are the other instances of the data centre: those of the last
// PeersSet, or without one those that told their load, in order of hearing.
func (w *World) Peers() []spec.InstanceID { return w.peers.ids }

func (w *World) peersSet(ev PeersSet) {
	w.peers.told = true
	w.peers.ids = append([]spec.InstanceID(nil), ev.Peers...)
}

// peerLoad takes what a peer has in flight. The load of an engine that is not
// known yet is kept for its first report.
func (w *World) peerLoad(ev PeerLoad) {
	p := &w.peers
	if p.loads == nil {
		p.loads = map[spec.InstanceID]map[spec.UpstreamID]peerLoad{}
	}
	loads := p.loads[ev.Peer]
	if loads == nil {
		loads = map[spec.UpstreamID]peerLoad{}
		p.loads[ev.Peer] = loads
		if !p.told {
			p.ids = append(p.ids, ev.Peer)
		}
	}
	now := peerLoad{draw: int64(max(0, ev.Tokens)), active: max(0, ev.Active)}
	if e := w.engines.Get(ev.Engine); e != nil {
		e.addPeer(now, loads[ev.Engine])
	}
	if now == (peerLoad{}) {
		delete(loads, ev.Engine)
		return
	}
	loads[ev.Engine] = now
}

// engineSeen takes a report. A new engine starts with what peers told of it
// before.
func (w *World) engineSeen(ev EngineSeen) {
	known := w.engines.Get(ev.Engine.ID) != nil
	w.engines.see(w.now, ev.Engine)
	if known {
		return
	}
	e := w.engines.Get(ev.Engine.ID)
	// The sums are of integers, so the order of the map does not show.
	for _, loads := range w.peers.loads {
		if l, ok := loads[e.ID]; ok {
			e.addPeer(l, peerLoad{})
		}
	}
}

// peerGone forgets a peer. The sums are of integers, so the order of the map
// does not show.
func (w *World) peerGone(id spec.InstanceID) {
	for engine, d := range w.peers.loads[id] {
		if e := w.engines.Get(engine); e != nil {
			e.addPeer(peerLoad{}, d)
		}
	}
	delete(w.peers.loads, id)
	for i, o := range w.peers.ids {
		if o == id {
			w.peers.ids = append(w.peers.ids[:i], w.peers.ids[i+1:]...)
			break
		}
	}
	w.centreGone(id)
}

// engineGone forgets an engine and what peers told of it.
func (w *World) engineGone(id spec.UpstreamID) {
	w.engines.remove(id)
	for _, loads := range w.peers.loads {
		delete(loads, id)
	}
}

// Centre is what one instance of another data centre can still take.
type Centre struct {
	told  CentreSum
	at    time.Duration
	given float64
}

// Instance is who takes forwarded requests there.
func (c *Centre) Instance() spec.InstanceID { return c.told.Instance }

// Free is what is left of it, in tokens a second, after what was forwarded.
func (c *Centre) Free() float64 { return c.told.Free - c.given }

// Heard is when the sum came.
func (c *Centre) Heard() time.Duration { return c.at }

// Give notes that a request drawing rate tokens a second was forwarded.
func (c *Centre) Give(rate float64) { c.given += rate }

// Centres are the other data centres' sums for a model, in order of hearing.
func (w *World) Centres(model spec.ModelName) []*Centre { return w.centres[model] }

func (w *World) centreSum(ev CentreSum) {
	if w.centres == nil {
		w.centres = map[spec.ModelName][]*Centre{}
	}
	all := w.centres[ev.Model]
	for _, c := range all {
		if c.told.DataCentre == ev.DataCentre && c.told.Instance == ev.Instance {
			*c = Centre{told: ev, at: w.now}
			return
		}
	}
	w.centres[ev.Model] = append(all, &Centre{told: ev, at: w.now})
}

func (w *World) centreGone(id spec.InstanceID) {
	for model, all := range w.centres {
		keep := all[:0]
		for _, c := range all {
			if c.told.Instance != id {
				keep = append(keep, c)
			}
		}
		w.centres[model] = keep
	}
}
