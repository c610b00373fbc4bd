package node

import (
	"slices"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/fleet/proto"
)

// Times of a call that waits for its answer. A call to a neighbour is sent
// again, then others are asked to call too, and only then is the neighbour
// under suspicion: one lost message or one bad link convicts nobody.
const (
	retryAfter           = 300 * time.Millisecond
	indirectProbeAfter   = 600 * time.Millisecond
	suspectAfter         = 1200 * time.Millisecond
	degradedExtraTimeout = 2 * time.Second
	bestEffortTimeout    = 2 * time.Second
	maxIndirectProbes    = 3
	maxCalls             = 256
	callerTTL            = 3 * time.Second
	sweepInterval        = time.Minute
)

// purpose says why a call was made.
type purpose int

const (
	// purposeExchange watches a neighbour and exchanges news with it.
	purposeExchange purpose = iota
	// purposeIndirectProbe calls on behalf of another instance.
	purposeIndirectProbe
	// purposeBestEffort looks for an instance not known as alive, or one of another
	// data centre; no answer proves nothing.
	purposeBestEffort
)

// stage is how far an unanswered call got.
type stage int

const (
	stageSent stage = iota
	stageRetried
	stageIndirect
	stageDegraded
)

// calls are the unanswered calls.
type calls struct {
	lastID uint64
	rows   []*call
	// lastSeen is when anything came from an instance.
	lastSeen map[spec.InstanceID]time.Duration
	sweptAt  time.Duration
}

type call struct {
	id      uint64
	to      spec.InstanceID
	purpose purpose
	stage   stage
	sentAt  time.Duration
	// For a relay, who asked and under which number.
	requester       spec.InstanceID
	requesterCallID uint64
	// announcesStop says that the message told of the own stop.
	announcesStop bool
}

// openCall notes a call and returns it; nil if too many are open.
func (l *Logic) openCall(to spec.InstanceID, why purpose) *call {
	c := &l.calls
	if len(c.rows) >= maxCalls {
		return nil
	}
	c.lastID++
	row := &call{id: c.lastID, to: to, purpose: why, sentAt: l.now, announcesStop: l.drain.Stopping()}
	c.rows = append(c.rows, row)
	return row
}

// startExchange calls to with the own digest.
func (l *Logic) startExchange(to spec.InstanceID, why purpose) {
	c := l.openCall(to, why)
	if c == nil {
		return
	}
	m := l.messageForCall(to)
	m.CallID = c.id
	m.HasDigest = true
	m.Watermarks = l.items.Digest(l.scope(to))
	m.Checksums = l.members.Checksums()
	m.Records = append(m.Records, l.members.Local)
}

// sendProbe repeats a call without the digest. One that tells of the own stop
// tells it again, since its answer counts as having heard.
func (l *Logic) sendProbe(c *call) {
	m := l.messageForCall(c.to)
	m.CallID = c.id
	if c.announcesStop {
		m.Records = append(m.Records, l.members.Local)
	}
}

// probeFor calls a third instance for another.
func (l *Logic) probeFor(target, from spec.InstanceID, num uint64) {
	if target == l.Local.ID || !l.members.IsLive(target) {
		return
	}
	if c := l.openCall(target, purposeIndirectProbe); c != nil {
		c.requester, c.requesterCallID = from, num
		l.sendProbe(c)
	}
}

// completeCall ends a call. It returns nil if none with the number is open.
func (l *Logic) completeCall(num uint64) *call {
	at := slices.IndexFunc(l.calls.rows, func(c *call) bool { return c.id == num })
	if at < 0 {
		return nil
	}
	c := l.calls.rows[at]
	l.calls.rows = slices.Delete(l.calls.rows, at, at+1)
	if c.purpose == purposeIndirectProbe {
		l.messageForAck(c.requester).AckID = c.requesterCallID
	}
	return c
}

// tickCalls moves on the calls that wait.
func (l *Logic) tickCalls() {
	l.sweepContacts()
	strained := l.isDegraded()
	l.calls.rows = slices.DeleteFunc(slices.Clone(l.calls.rows), func(c *call) bool {
		if c.purpose != purposeExchange {
			return l.tickBestEffortCall(c)
		}
		return l.tickExchangeCall(c, strained)
	})
}

func (l *Logic) tickBestEffortCall(c *call) bool {
	waited := l.now - c.sentAt
	if waited >= bestEffortTimeout {
		if c.purpose == purposeBestEffort {
			l.remoteCentres.avoidPartner(c.to, l.now)
		}
		return true
	}
	if c.stage == stageSent && waited >= retryAfter {
		c.stage = stageRetried
		l.sendProbe(c)
	}
	return false
}

// tickExchangeCall reports whether the call to a neighbour is over.
func (l *Logic) tickExchangeCall(c *call, strained bool) bool {
	if l.calls.lastSeen[c.to] > c.sentAt || !l.members.IsLive(c.to) {
		// Its words arrive, so it lives even if its answer was lost.
		return l.now-c.sentAt >= suspectAfter
	}
	waited := l.now - c.sentAt
	switch {
	case c.stage == stageSent && waited >= retryAfter:
		c.stage = stageRetried
		l.sendProbe(c)
	case c.stage == stageRetried && waited >= indirectProbeAfter:
		l.requestIndirectProbes(c)
	case c.stage == stageIndirect && waited >= suspectAfter:
		if strained {
			c.stage = stageDegraded
			return false
		}
		l.suspect(c.to)
		return true
	case c.stage == stageDegraded && waited >= suspectAfter+degradedExtraTimeout:
		l.suspect(c.to)
		return true
	}
	return false
}

// requestIndirectProbes has other instances call the one that does not answer.
func (l *Logic) requestIndirectProbes(c *call) {
	c.stage = stageIndirect
	l.sendProbe(c)
	helpers := l.members.LiveMembers(func(r proto.Record) bool {
		return r.DataCentre == l.Local.DataCentre && r.ID != c.to && r.ID != l.Local.ID && r.State == proto.StateAlive
	})
	for range min(maxIndirectProbes, len(helpers)) {
		i := l.Rand.IntN(len(helpers))
		m := l.messageForCall(helpers[i])
		m.CallID = c.id
		m.ProbeTarget = c.to
		helpers = slices.Delete(helpers, i, i+1)
	}
}

// sweepContacts forgets when those were heard or missed that are long gone, so that the
// names of replaced instances do not pile up.
func (l *Logic) sweepContacts() {
	if l.now-l.calls.sweptAt < sweepInterval {
		return
	}
	l.calls.sweptAt = l.now
	for id, at := range l.calls.lastSeen {
		if l.now-at > sweepInterval {
			delete(l.calls.lastSeen, id)
		}
	}
	for id, until := range l.remoteCentres.avoidUntil {
		if l.now > until {
			delete(l.remoteCentres.avoidUntil, id)
		}
	}
}

// isDegraded reports whether most neighbours do not answer at once. Then the
// fault is more likely here, as Lifeguard has it, and suspicions wait longer.
func (l *Logic) isDegraded() bool {
	failing := 0
	for _, c := range l.calls.rows {
		if c.purpose == purposeExchange && c.stage >= stageIndirect && l.calls.lastSeen[c.to] <= c.sentAt {
			failing++
		}
	}
	return failing >= 2 && 2*failing > len(l.exchanges.rows)
}

func (l *Logic) suspect(id spec.InstanceID) {
	if rec, ok := l.members.Get(id); ok && rec.State == proto.StateAlive {
		l.stats.Suspected++
	}
	l.members.Suspect(l.now, id)
	// It hears of it too, to refute.
	if rec, ok := l.members.Get(id); ok {
		m := l.messageFor(id)
		m.Records = append(m.Records, rec)
	}
}

// handleConnectionLost takes a broken connection as a reason to ask at once, not as a proof.
func (l *Logic) handleConnectionLost(id spec.InstanceID) {
	if !l.exchanges.has(id) || !l.members.IsLive(id) {
		return
	}
	for _, c := range l.calls.rows {
		if c.to == id && c.purpose == purposeExchange {
			if c.stage < stageIndirect {
				c.sentAt = min(c.sentAt, l.now-indirectProbeAfter)
				l.requestIndirectProbes(c)
			}
			return
		}
	}
	if c := l.openCall(id, purposeExchange); c != nil {
		c.sentAt = l.now - indirectProbeAfter
		l.requestIndirectProbes(c)
	}
}
