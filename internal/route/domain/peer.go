package domain

import (
	"time"

	"fulmarwick/internal/base/spec"
)

// peers is what other instances of the data centre announced.
type peers struct {
	loads map[spec.InstanceID]map[spec.UpstreamID]peerLoad
	ids   []spec.InstanceID
	// listed is set once a PeersChanged event named the peers.
	listed bool
}

// peerLoad is the load that one peer announced for one engine.
type peerLoad struct {
	demand int64
	active int
}

// Peers returns the other instances of the data centre. They come from the
// last PeersChanged event or, if there was none, from the announced loads in
// order of arrival.
func (state *RoutingState) Peers() []spec.InstanceID { return state.peers.ids }

func (state *RoutingState) applyPeers(ev PeersChanged) {
	state.peers.listed = true
	state.peers.ids = append([]spec.InstanceID(nil), ev.Peers...)
}

// applyPeerLoad applies the load that a peer announced. The load of an engine
// that is not known yet is stored until its first report.
func (state *RoutingState) applyPeerLoad(ev PeerLoad) {
	p := &state.peers
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
	load := peerLoad{demand: int64(max(0, ev.LayerTokenRate)), active: max(0, ev.Active)}
	if e := state.engines.Get(ev.Engine); e != nil {
		e.replacePeerLoad(load, loads[ev.Engine])
	}
	if load == (peerLoad{}) {
		delete(loads, ev.Engine)
		return
	}
	loads[ev.Engine] = load
}

// applyEngineReport applies an engine report. A new engine starts with the
// load that peers announced for it earlier.
func (state *RoutingState) applyEngineReport(ev EngineReport) {
	exists := state.engines.Get(ev.Engine.ID) != nil
	state.engines.applyReport(state.now, ev.Engine)
	if exists {
		return
	}
	e := state.engines.Get(ev.Engine.ID)
	// The sums are integers, so the iteration order of the map has no effect.
	for _, loads := range state.peers.loads {
		if load, ok := loads[e.ID]; ok {
			e.replacePeerLoad(load, peerLoad{})
		}
	}
}

// removePeer removes a peer and its load. The sums are integers, so the
// iteration order of the map has no effect.
func (state *RoutingState) removePeer(id spec.InstanceID) {
	for engine, load := range state.peers.loads[id] {
		if e := state.engines.Get(engine); e != nil {
			e.replacePeerLoad(peerLoad{}, load)
		}
	}
	delete(state.peers.loads, id)
	for i, peer := range state.peers.ids {
		if peer == id {
			state.peers.ids = append(state.peers.ids[:i], state.peers.ids[i+1:]...)
			break
		}
	}
	state.removeCentreInstance(id)
}

// removeEngine removes an engine and the load that peers announced for it.
func (state *RoutingState) removeEngine(id spec.UpstreamID) {
	state.engines.remove(id)
	for _, loads := range state.peers.loads {
		delete(loads, id)
	}
}

// RemoteCentre is the capacity that one instance of another data centre
// offers for a model.
type RemoteCentre struct {
	report     CentreCapacity
	reportedAt time.Duration
	reserved   float64
}

// Instance returns the instance there that accepts forwarded requests.
func (c *RemoteCentre) Instance() spec.InstanceID { return c.report.Instance }

// FreeRate returns the free capacity in tokens per second, less the rate of
// the requests forwarded since the report.
func (c *RemoteCentre) FreeRate() float64 { return c.report.FreeRate - c.reserved }

// ReportedAt returns when the capacity was reported.
func (c *RemoteCentre) ReportedAt() time.Duration { return c.reportedAt }

// Reserve subtracts the rate of a forwarded request, in tokens per second,
// from the free capacity.
func (c *RemoteCentre) Reserve(rate float64) { c.reserved += rate }

// RemoteCentres returns the capacities that other data centres offer for a
// model, in order of first report.
func (state *RoutingState) RemoteCentres(model spec.ModelName) []*RemoteCentre {
	return state.remoteCentres[model]
}

func (state *RoutingState) applyCentreCapacity(ev CentreCapacity) {
	if state.remoteCentres == nil {
		state.remoteCentres = map[spec.ModelName][]*RemoteCentre{}
	}
	centres := state.remoteCentres[ev.Model]
	for _, c := range centres {
		if c.report.DataCentre == ev.DataCentre && c.report.Instance == ev.Instance {
			*c = RemoteCentre{report: ev, reportedAt: state.now}
			return
		}
	}
	state.remoteCentres[ev.Model] = append(centres, &RemoteCentre{report: ev, reportedAt: state.now})
}

func (state *RoutingState) removeCentreInstance(id spec.InstanceID) {
	for model, centres := range state.remoteCentres {
		kept := centres[:0]
		for _, c := range centres {
			if c.report.Instance != id {
				kept = append(kept, c)
			}
		}
		state.remoteCentres[model] = kept
	}
}
