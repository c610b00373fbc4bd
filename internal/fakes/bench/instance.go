package bench

import (
	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/core"
	"fulmarwick/internal/route/domain"
)

// instance is one router.
type instance struct {
	site    *Site
	id      spec.InstanceID
	logic   *core.Logic
	inbox   []domain.Event
	waking  bool
	waits   map[spec.RequestID]*run
	Refused int
}

// post queues an event and wakes the logic.
func (i *instance) post(ev domain.Event) {
	i.inbox = append(i.inbox, ev)
	if i.waking {
		return
	}
	i.waking = true
	i.site.clock.after(wakeAfter, func() {
		i.waking = false
		i.tick()
	})
}

func (i *instance) tick() {
	events := i.inbox
	i.inbox = nil
	for _, c := range i.logic.Tick(i.site.clock.now, events) {
		i.obey(c)
	}
}

func (i *instance) obey(c domain.Command) {
	switch c := c.(type) {
	case domain.Start:
		i.waits[c.Request].take(c)
	case domain.Refuse:
		r := i.waits[c.Request]
		r.reason = c.Reason
		if r.twin != nil && r.twin.outcome == OutcomeOpen {
			r.end(OutcomeHedged)
			return
		}
		if c.Ran {
			r.end(OutcomeLost)
		} else {
			r.end(OutcomeRefused)
		}
	case domain.Forward:
		i.waits[c.Request].end(OutcomeForwarded)
	case domain.LocalLoad:
		i.tell(domain.PeerLoad{Peer: i.id, Engine: c.Engine, Active: c.Active, LayerTokenRate: c.LayerTokenRate})
	case domain.LocalTeamUsage:
		i.site.rate(c, i.id)
	case domain.ReportSuspect:
		i.tell(domain.SuspectReported(c))
	}
}

// tell hands a message to the other instances, late.
func (i *instance) tell(ev domain.Event) {
	i.site.clock.after(peerLag, func() {
		for _, o := range i.site.instances {
			if o != i {
				o.post(ev)
			}
		}
	})
}
