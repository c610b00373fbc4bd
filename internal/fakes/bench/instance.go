package bench

import (
	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/core"
	"fulmarwick/internal/route/domain"
)

// instance is one router.
type instance struct {
	sim           *Simulation
	id            spec.InstanceID
	logic         *core.Logic
	inbox         []domain.Event
	tickScheduled bool
	requests      map[spec.RequestID]*run
	Refused       int
}

// post queues an event and wakes the logic.
func (i *instance) post(ev domain.Event) {
	i.inbox = append(i.inbox, ev)
	if i.tickScheduled {
		return
	}
	i.tickScheduled = true
	i.sim.clock.after(wakeDelay, func() {
		i.tickScheduled = false
		i.tick()
	})
}

func (i *instance) tick() {
	events := i.inbox
	i.inbox = nil
	for _, c := range i.logic.Tick(i.sim.clock.now, events) {
		i.execute(c)
	}
}

func (i *instance) execute(c domain.Command) {
	switch c := c.(type) {
	case domain.Start:
		i.requests[c.Request].applyStart(c)
	case domain.Refuse:
		r := i.requests[c.Request]
		r.reason = c.Reason
		if r.sibling != nil && r.sibling.outcome == OutcomeOpen {
			r.finish(OutcomeHedged)
			return
		}
		if c.Ran {
			r.finish(OutcomeLost)
		} else {
			r.finish(OutcomeRefused)
		}
	case domain.Forward:
		i.requests[c.Request].finish(OutcomeForwarded)
	case domain.LocalLoad:
		i.sendToPeers(domain.PeerLoad{Peer: i.id, Engine: c.Engine, Active: c.Active, LayerTokenRate: c.LayerTokenRate})
	case domain.LocalTeamUsage:
		i.sim.shareTeamUsage(c, i.id)
	case domain.ReportSuspect:
		i.sendToPeers(domain.SuspectReported(c))
	}
}

// sendToPeers hands a message to the other instances, late.
func (i *instance) sendToPeers(ev domain.Event) {
	i.sim.clock.after(peerLag, func() {
		for _, o := range i.sim.instances {
			if o != i {
				o.post(ev)
			}
		}
	})
}
