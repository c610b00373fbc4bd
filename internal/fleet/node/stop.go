package node

import (
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/fleet/drain"
)

// leaveResendInterval is the time between two leave announcements to instances
// that did not answer.
const leaveResendInterval = 200 * time.Millisecond

// beginStop begins the graceful stop: the other instances take over duties and
// watches as soon as they learn of it.
func (l *Logic) beginStop() {
	if l.drain.Stopping() {
		return
	}
	l.members.SetPassive(true)
	l.drain.Begin(l.now, l.stopRecipients())
	l.assignments.dirty = true
	l.announceStop()
}

// leave announces that this instance leaves. Instances that miss it rely on
// failure detection.
func (l *Logic) leave() {
	if l.drain.Phase() >= drain.PhaseLeaving {
		return
	}
	l.drain.BeginLeave(l.now, l.stopRecipients())
	l.members.Leave()
	l.sendLeave()
}

// stopRecipients returns the instances that watch this one and pass the
// announcement on.
func (l *Logic) stopRecipients() []spec.InstanceID { return l.pushTargets() }

// announceStop calls the recipients with a message that announces the stop.
// Their answers show that they received it.
func (l *Logic) announceStop() {
	for _, id := range l.drain.Pending() {
		l.startExchange(id, purposeBestEffort)
	}
}

func (l *Logic) sendLeave() {
	l.exchanges.nextAttempt = l.now + leaveResendInterval
	for _, id := range l.drain.Pending() {
		c := l.openCall(id, purposeBestEffort)
		if c == nil {
			return
		}
		m := l.messageForCall(id)
		m.CallID = c.id
		m.Records = append(m.Records, l.members.Local)
	}
}

// tickDrain advances the stop.
func (l *Logic) tickDrain() {
	if !l.drain.Stopping() {
		return
	}
	if l.drain.Phase() == drain.PhaseLeaving && l.now >= l.exchanges.nextAttempt {
		l.sendLeave()
	}
	if !l.drain.Tick(l.now) {
		return
	}
	switch l.drain.Phase() {
	case drain.PhaseHandedOver:
		l.assignments.dirty = true
		l.emit(HandedOver{})
	case drain.PhaseDone:
		l.emit(Left{})
	}
}
