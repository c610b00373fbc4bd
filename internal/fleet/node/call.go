package node

import (
	"slices"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/fleet/talk"
)

// Times of a call that waits for its answer. A call to a neighbour is sent
// again, then others are asked to call too, and only then is the neighbour
// under suspicion: one lost message or one bad link convicts nobody.
const (
	againAfter   = 300 * time.Millisecond
	relayAfter   = 600 * time.Millisecond
	failAfter    = 1200 * time.Millisecond
	strainMore   = 2 * time.Second
	forgetAfter  = 2 * time.Second
	relays       = 3
	maxCalls     = 256
	callerMemory = 3 * time.Second
	sweepEvery   = time.Minute
)

// purpose says why a call was made.
type purpose int

const (
	// purposeMeet watches a neighbour and exchanges news with it.
	purposeMeet purpose = iota
	// purposeRelay calls on behalf of another instance.
	purposeRelay
	// purposeSeek looks for an instance not known as alive, or one of another
	// data centre; no answer proves nothing.
	purposeSeek
)

// stage is how far an unanswered call got.
type stage int

const (
	stageAsked stage = iota
	stageAgain
	stageRelayed
	stageStrained
)

// calls are the unanswered calls.
type calls struct {
	last uint64
	rows []*call
	// heard is when anything came from an instance.
	heard map[spec.InstanceID]time.Duration
	swept time.Duration
}

type call struct {
	num   uint64
	to    spec.InstanceID
	why   purpose
	stage stage
	sent  time.Duration
	// For a relay, who asked and under which number.
	from    spec.InstanceID
	fromNum uint64
	// bye says that the message told of the own stop.
	bye bool
}

// open notes a call and returns it; nil if too many are open.
func (l *Logic) open(to spec.InstanceID, why purpose) *call {
	c := &l.calls
	if len(c.rows) >= maxCalls {
		return nil
	}
	c.last++
	row := &call{num: c.last, to: to, why: why, sent: l.now, bye: l.drain.Stopping()}
	c.rows = append(c.rows, row)
	return row
}

// exchange calls to with the own digest.
func (l *Logic) exchange(to spec.InstanceID, why purpose) {
	c := l.open(to, why)
	if c == nil {
		return
	}
	m := l.ask(to)
	m.Call = c.num
	m.Digest = true
	m.Marks = l.items.Digest(l.scope(to))
	m.Sums = l.members.Sums()
	m.Records = append(m.Records, l.members.Self)
}

// poke repeats a call without the digest. One that tells of the own stop
// tells it again, since its answer counts as having heard.
func (l *Logic) poke(c *call) {
	m := l.ask(c.to)
	m.Call = c.num
	if c.bye {
		m.Records = append(m.Records, l.members.Self)
	}
}

// relay calls a third instance for another.
func (l *Logic) relay(target, from spec.InstanceID, num uint64) {
	if target == l.Self.ID || !l.members.Live(target) {
		return
	}
	if c := l.open(target, purposeRelay); c != nil {
		c.from, c.fromNum = from, num
		l.poke(c)
	}
}

// answered ends a call. It returns nil if none with the number is open.
func (l *Logic) answered(num uint64) *call {
	at := slices.IndexFunc(l.calls.rows, func(c *call) bool { return c.num == num })
	if at < 0 {
		return nil
	}
	c := l.calls.rows[at]
	l.calls.rows = slices.Delete(l.calls.rows, at, at+1)
	if c.why == purposeRelay {
		l.answer(c.from).Ack = c.fromNum
	}
	return c
}

// tickCalls moves on the calls that wait.
func (l *Logic) tickCalls() {
	l.sweep()
	strained := l.strained()
	l.calls.rows = slices.DeleteFunc(slices.Clone(l.calls.rows), func(c *call) bool {
		if c.why != purposeMeet {
			return l.tickSeek(c)
		}
		return l.tickMeet(c, strained)
	})
}

func (l *Logic) tickSeek(c *call) bool {
	waited := l.now - c.sent
	if waited >= forgetAfter {
		if c.why == purposeSeek {
			l.remotes.missed(c.to, l.now)
		}
		return true
	}
	if c.stage == stageAsked && waited >= againAfter {
		c.stage = stageAgain
		l.poke(c)
	}
	return false
}

// tickMeet reports whether the call to a neighbour is over.
func (l *Logic) tickMeet(c *call, strained bool) bool {
	if l.calls.heard[c.to] > c.sent || !l.members.Live(c.to) {
		// Its words arrive, so it lives even if its answer was lost.
		return l.now-c.sent >= failAfter
	}
	waited := l.now - c.sent
	switch {
	case c.stage == stageAsked && waited >= againAfter:
		c.stage = stageAgain
		l.poke(c)
	case c.stage == stageAgain && waited >= relayAfter:
		l.askOthers(c)
	case c.stage == stageRelayed && waited >= failAfter:
		if strained {
			c.stage = stageStrained
			return false
		}
		l.suspect(c.to)
		return true
	case c.stage == stageStrained && waited >= failAfter+strainMore:
		l.suspect(c.to)
		return true
	}
	return false
}

// askOthers has other instances call the one that does not answer.
func (l *Logic) askOthers(c *call) {
	c.stage = stageRelayed
	l.poke(c)
	helpers := l.members.Members(func(r talk.Record) bool {
		return r.DataCentre == l.Self.DataCentre && r.ID != c.to && r.ID != l.Self.ID && r.State == talk.StateAlive
	})
	for range min(relays, len(helpers)) {
		i := l.Rand.IntN(len(helpers))
		m := l.ask(helpers[i])
		m.Call = c.num
		m.Target = c.to
		helpers = slices.Delete(helpers, i, i+1)
	}
}

// sweep forgets when those were heard or missed that are long gone, so that the
// names of replaced instances do not pile up.
func (l *Logic) sweep() {
	if l.now-l.calls.swept < sweepEvery {
		return
	}
	l.calls.swept = l.now
	for id, at := range l.calls.heard {
		if l.now-at > sweepEvery {
			delete(l.calls.heard, id)
		}
	}
	for id, until := range l.remotes.avoid {
		if l.now > until {
			delete(l.remotes.avoid, id)
		}
	}
}

// strained reports whether most neighbours do not answer at once. Then the
// fault is more likely here, as Lifeguard has it, and suspicions wait longer.
func (l *Logic) strained() bool {
	failing := 0
	for _, c := range l.calls.rows {
		if c.why == purposeMeet && c.stage >= stageRelayed && l.calls.heard[c.to] <= c.sent {
			failing++
		}
	}
	return failing >= 2 && 2*failing > len(l.meets.rows)
}

func (l *Logic) suspect(id spec.InstanceID) {
	if rec, ok := l.members.Get(id); ok && rec.State == talk.StateAlive {
		l.stats.Suspected++
	}
	l.members.Suspect(l.now, id)
	// It hears of it too, to refute.
	if rec, ok := l.members.Get(id); ok {
		m := l.to(id)
		m.Records = append(m.Records, rec)
	}
}

// lost takes a broken connection as a reason to ask at once, not as a proof.
func (l *Logic) lost(id spec.InstanceID) {
	if !l.meets.has(id) || !l.members.Live(id) {
		return
	}
	for _, c := range l.calls.rows {
		if c.to == id && c.why == purposeMeet {
			if c.stage < stageRelayed {
				c.sent = min(c.sent, l.now-relayAfter)
				l.askOthers(c)
			}
			return
		}
	}
	if c := l.open(id, purposeMeet); c != nil {
		c.sent = l.now - relayAfter
		l.askOthers(c)
	}
}
