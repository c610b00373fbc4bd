package domain

import (
	"time"

	"fulmarwick/internal/base/spec"
)

// peers is what other instances told.
type peers struct {
	loads map[spec.InstanceID]map[spec.UpstreamID]peerLoad
	ids   []spec.InstanceID
	// listed is set once a PeersSet named the peers.
	listed bool
}

// peerLoad is what one peer has on one engine.
type peerLoad struct {
	demand int64
	active int
}

// Peers are the other instances of the data centre: those of the last
// PeersSet, or without one those that told their load, in order of hearing.
func (w *RoutingState) Peers() []spec.InstanceID { return w.peers.ids }

func (w *RoutingState) applyPeers(ev PeersChanged) {
	w.peers.listed = true
	w.peers.ids = append([]spec.InstanceID(nil), ev.Peers...)
}

// applyPeerLoad takes what a peer has in flight. The load of an engine that is not
// known yet is kept for its first report.
func (w *RoutingState) applyPeerLoad(ev PeerLoad) {
	p := &w.peers
	if p.loads == nil {
		p.loads = map[spec.InstanceID]map[spec.UpstreamID]peerLoad{}
	}
	loads := p.loads[ev.Peer]
	if loads == nil {
		loads = map[spec.UpstreamID]peerLoad{}
		p.loads[ev.Peer] = loads
		if !p.listed {
			p.ids = append(p.ids, ev.Peer)
		}
	}
	now := peerLoad{demand: int64(max(0, ev.LayerTokenRate)), active: max(0, ev.Active)}
	if e := w.engines.Get(ev.Engine); e != nil {
		e.replacePeerLoad(now, loads[ev.Engine])
	}
	if now == (peerLoad{}) {
		delete(loads, ev.Engine)
		return
	}
	loads[ev.Engine] = now
}

// applyEngineReport takes a report. A new engine starts with what peers told of it
// before.
func (w *RoutingState) applyEngineReport(ev EngineReport) {
	known := w.engines.Get(ev.Engine.ID) != nil
	w.engines.applyReport(w.now, ev.Engine)
	if known {
		return
	}
	e := w.engines.Get(ev.Engine.ID)
	// The sums are of integers, so the order of the map does not show.
	for _, loads := range w.peers.loads {
		if l, ok := loads[e.ID]; ok {
			e.replacePeerLoad(l, peerLoad{})
		}
	}
}

// removePeer forgets a peer. The sums are of integers, so the order of the map
// does not show.
func (w *RoutingState) removePeer(id spec.InstanceID) {
	for engine, d := range w.peers.loads[id] {
		if e := w.engines.Get(engine); e != nil {
			e.replacePeerLoad(peerLoad{}, d)
		}
	}
	delete(w.peers.loads, id)
	for i, o := range w.peers.ids {
		if o == id {
			w.peers.ids = append(w.peers.ids[:i], w.peers.ids[i+1:]...)
			break
		}
	}
	w.removeCentreInstance(id)
}

// removeEngine forgets an engine and what peers told of it.
func (w *RoutingState) removeEngine(id spec.UpstreamID) {
	w.engines.remove(id)
	for _, loads := range w.peers.loads {
		delete(loads, id)
	}
}

// RemoteCentre is what one instance of another data centre can still take.
type RemoteCentre struct {
	report     CentreCapacity
	reportedAt time.Duration
	reserved   float64
}

// Instance is who takes forwarded requests there.
func (c *RemoteCentre) Instance() spec.InstanceID { return c.report.Instance }

// FreeRate is what is left of it, in tokens a second, after what was forwarded.
func (c *RemoteCentre) FreeRate() float64 { return c.report.FreeRate - c.reserved }

// ReportedAt is when the sum came.
func (c *RemoteCentre) ReportedAt() time.Duration { return c.reportedAt }

// Reserve notes that a request drawing rate tokens a second was forwarded.
func (c *RemoteCentre) Reserve(rate float64) { c.reserved += rate }

// RemoteCentres are the other data centres' sums for a model, in order of hearing.
func (w *RoutingState) RemoteCentres(model spec.ModelName) []*RemoteCentre {
	return w.remoteCentres[model]
}

func (w *RoutingState) applyCentreCapacity(ev CentreCapacity) {
	if w.remoteCentres == nil {
		w.remoteCentres = map[spec.ModelName][]*RemoteCentre{}
	}
	all := w.remoteCentres[ev.Model]
	for _, c := range all {
		if c.report.DataCentre == ev.DataCentre && c.report.Instance == ev.Instance {
			*c = RemoteCentre{report: ev, reportedAt: w.now}
			return
		}
	}
	w.remoteCentres[ev.Model] = append(all, &RemoteCentre{report: ev, reportedAt: w.now})
}

func (w *RoutingState) removeCentreInstance(id spec.InstanceID) {
	for model, all := range w.remoteCentres {
		keep := all[:0]
		for _, c := range all {
			if c.report.Instance != id {
				keep = append(keep, c)
			}
		}
		w.remoteCentres[model] = keep
	}
}
