package node

import (
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/fleet/drain"
)

// leaveResendInterval is the time between two goodbyes to those that did not answer.
const leaveResendInterval = 200 * time.Millisecond

// beginStop begins the graceful stop: the others spread its duties and watches
// among themselves as soon as they hear.
func (l *Logic) beginStop() {
	if l.drain.Stopping() {
		return
	}
	l.members.SetPassive(true)
	l.drain.Begin(l.now, l.stopRecipients())
	l.assignments.dirty = true
	l.announceStop()
}

// leave says goodbye. Whoever does not hear it finds out by itself.
func (l *Logic) leave() {
	if l.drain.Phase() >= drain.PhaseLeaving {
		return
	}
	l.drain.BeginLeave(l.now, l.stopRecipients())
	l.members.Leave()
	l.sendLeave()
}

// stopRecipients are the instances that watch this one and pass news on.
func (l *Logic) stopRecipients() []spec.InstanceID { return l.pushTargets() }

// announceStop has each of them answer a call that tells of the stop, so that
// this one knows that it was heard.
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

// tickDrain moves the stop on.
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
