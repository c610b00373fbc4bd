package bench

import (
	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/core"
	"fulmarwick/internal/route/domain"
)

// instance simulates one router instance.
type instance struct {
	sim           *Simulation
	id            spec.InstanceID
	logic         *core.Logic
	inbox         []domain.Event
	tickScheduled bool
	requests      map[spec.RequestID]*run
	Refused       int
}

// post queues an event and schedules a tick of the routing logic.
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

func (i *instance) execute(cmd domain.Command) {
	switch cmd := cmd.(type) {
	case domain.Start:
		i.requests[cmd.Request].applyStart(cmd)
	case domain.Wait:
		i.requests[cmd.Request].applyWait(cmd)
	case domain.Refuse:
		r := i.requests[cmd.Request]
		r.reason = cmd.Reason
		if r.sibling != nil && r.sibling.outcome == OutcomeOpen {
			r.finish(OutcomeHedged)
			return
		}
		if cmd.Ran {
			r.finish(OutcomeLost)
		} else {
			r.finish(OutcomeRefused)
		}
	case domain.Forward:
		i.requests[cmd.Request].finish(OutcomeForwarded)
	case domain.LocalLoad:
		i.sendToPeers(domain.PeerLoad{Peer: i.id, Engine: cmd.Engine, Active: cmd.Active, LayerTokenRate: cmd.LayerTokenRate})
	case domain.LocalTeamUsage:
		i.sim.shareTeamUsage(cmd, i.id)
	case domain.ReportSuspect:
		i.sendToPeers(domain.SuspectReported(cmd))
	}
}

// sendToPeers sends an event to the other instances after peerLag.
func (i *instance) sendToPeers(ev domain.Event) {
	i.sim.clock.after(peerLag, func() {
		for _, peer := range i.sim.instances {
			if peer != i {
				peer.post(ev)
			}
		}
	})
}
