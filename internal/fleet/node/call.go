package node

import (
	"slices"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/fleet/proto"
)

// Timeouts of a call that waits for its answer. A call to a neighbour is first
// sent again, then other instances are asked to probe the neighbour too, and
// only then is the neighbour suspected. So one lost message or one bad link
// alone does not lead to a suspicion.
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

// purpose is the reason for a call.
type purpose int

const (
	// purposeExchange checks that a neighbour is alive and exchanges items
	// with it.
	purposeExchange purpose = iota
	// purposeIndirectProbe is a probe on behalf of another instance.
	purposeIndirectProbe
	// purposeBestEffort contacts an instance that is not known to be
	// alive, or one of another data centre. A missing answer causes no
	// suspicion.
	purposeBestEffort
)

// stage is how far an unanswered call has escalated.
type stage int

const (
	stageSent stage = iota
	stageRetried
	stageIndirect
	stageDegraded
)

// calls holds the unanswered calls.
type calls struct {
	lastID uint64
	rows   []*call
	// lastSeen is when the last message of each instance arrived.
	lastSeen map[spec.InstanceID]time.Duration
	sweptAt  time.Duration
}

type call struct {
	id      uint64
	to      spec.InstanceID
	purpose purpose
	stage   stage
	sentAt  time.Duration
	// requester and requesterCallID are the instance that asked for an
	// indirect probe and the ID of its call.
	requester       spec.InstanceID
	requesterCallID uint64
	// announcesStop reports that the message announced the stop of this
	// instance.
	announcesStop bool
}

// openCall records a call and returns it, or nil if too many are open.
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

// startExchange sends a call with the local digest.
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

// sendProbe sends a call again without the digest. A call that announces the
// stop of this instance repeats the announcement, since any answer to the call
// counts as its acknowledgement.
func (l *Logic) sendProbe(c *call) {
	m := l.messageForCall(c.to)
	m.CallID = c.id
	if c.announcesStop {
		m.Records = append(m.Records, l.members.Local)
	}
}

// probeFor probes a third instance on behalf of another one.
func (l *Logic) probeFor(target, from spec.InstanceID, callID uint64) {
	if target == l.Local.ID || !l.members.IsLive(target) {
		return
	}
	if c := l.openCall(target, purposeIndirectProbe); c != nil {
		c.requester, c.requesterCallID = from, callID
		l.sendProbe(c)
	}
}

// completeCall closes the call with the given ID and returns it, or nil if
// there is none. An answered indirect probe is acknowledged to its requester.
func (l *Logic) completeCall(callID uint64) *call {
	at := slices.IndexFunc(l.calls.rows, func(c *call) bool { return c.id == callID })
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

// tickCalls advances the calls that wait for an answer.
func (l *Logic) tickCalls() {
	l.sweepContacts()
	degraded := l.isDegraded()
	l.calls.rows = slices.DeleteFunc(slices.Clone(l.calls.rows), func(c *call) bool {
		if c.purpose != purposeExchange {
			return l.tickBestEffortCall(c)
		}
		return l.tickExchangeCall(c, degraded)
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

// tickExchangeCall advances a call to a neighbour and reports whether it is
// over.
func (l *Logic) tickExchangeCall(c *call, degraded bool) bool {
	if l.calls.lastSeen[c.to] > c.sentAt || !l.members.IsLive(c.to) {
		// The neighbour sends messages, so it is alive even if its
		// answer was lost.
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
		if degraded {
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

// requestIndirectProbes asks other instances to probe the one that does not
// answer.
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

// sweepContacts drops old contact and cooldown times, so that the names of
// replaced instances do not accumulate.
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

// isDegraded reports whether most neighbours fail to answer at the same time.
// Then the fault is more likely local, as in Lifeguard, and suspicions wait
// longer.
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
	// Send the suspicion to the suspect itself, so that it can refute it.
	if rec, ok := l.members.Get(id); ok {
		m := l.messageFor(id)
		m.Records = append(m.Records, rec)
	}
}

// handleConnectionLost treats a broken connection as a reason to request
// indirect probes at once, not as proof of death.
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
