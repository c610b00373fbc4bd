package node

import (
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/fleet/drain"
)

// byeEvery is the time between two goodbyes to those that did not answer.
const byeEvery = 200 * time.Millisecond

// stop begins the graceful stop: the others spread its duties and watches
// among themselves as soon as they hear.
func (l *Logic) stop() {
	if l.drain.Stopping() {
		return
	}
	l.members.Passive(true)
	l.drain.Begin(l.now, l.circle())
	l.watch.dirty = true
	l.tellCircle()
}

// quit says goodbye. Whoever does not hear it finds out by itself.
func (l *Logic) quit() {
	if l.drain.Phase() >= drain.PhaseGoodbye {
		return
	}
	l.drain.Bye(l.now, l.circle())
	l.members.Leave()
	l.sayBye()
}

// circle are the instances that watch this one and pass news on.
func (l *Logic) circle() []spec.InstanceID { return l.targets() }

// tellCircle has each of them answer a call that tells of the stop, so that
// this one knows that it was heard.
func (l *Logic) tellCircle() {
	for _, id := range l.drain.Waits() {
		l.exchange(id, purposeSeek)
	}
}

func (l *Logic) sayBye() {
	l.meets.seek = l.now + byeEvery
	for _, id := range l.drain.Waits() {
		c := l.open(id, purposeSeek)
		if c == nil {
			return
		}
		m := l.ask(id)
		m.Call = c.num
		m.Records = append(m.Records, l.members.Self)
	}
}

// tickDrain moves the stop on.
func (l *Logic) tickDrain() {
	if !l.drain.Stopping() {
		return
	}
	if l.drain.Phase() == drain.PhaseGoodbye && l.now >= l.meets.seek {
		l.sayBye()
	}
	if !l.drain.Tick(l.now) {
		return
	}
	switch l.drain.Phase() {
	case drain.PhaseHanded:
		l.watch.dirty = true
		l.emit(HandedOver{})
	case drain.PhaseDone:
		l.emit(Done{})
	}
}
