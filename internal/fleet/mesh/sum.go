package mesh

import (
	"maps"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/path"
	"fulmarwick/internal/route/resend"
)

const (
	// sumTTL is how long the sum of a cell counts without a new one. It outlasts the
	// silence after which the other head of the cell sends it.
	sumTTL = peerTimeout + maxSumInterval + roundInterval
	// localSumBytesPerSecond and farRate are the bytes a second that sums for one instance may take,
	// in the own data centre and in another one: sums of many engines are told less
	// often, but after sumPause at the latest, well within the time for which they count.
	localSumBytesPerSecond  = 22 << 10
	remoteSumBytesPerSecond = 6 << 10
	maxSumInterval          = 8 * roundInterval
	// fleetSource names what the requests of all other instances take, as a member
	// hears of it.
	fleetSource = spec.InstanceID("all")
	// cellSourcePrefix begins the name of what the requests of a cell take.
	cellSourcePrefix = "cell:"
)

// load is what requests take and do, as told by one instance or by several.
type load struct {
	usage     usage
	slowdowns map[spec.UpstreamID]float64
	retries   map[string]resend.Usage
}

// usage is what requests take, by service and engine.
type usage map[string]map[spec.UpstreamID]path.Usage

// loadSum is the load of several instances, as last told.
type loadSum struct {
	load
	receivedAt time.Duration
}

// instanceCount is how many instances there are somewhere, as last told.
type instanceCount struct {
	n          int
	receivedAt time.Duration
}

// handleLoad takes what requests elsewhere take. Each request counts once: a member
// takes the sum of all, a head the sums of other cells and its own members one by one.
func (l *Logic) handleLoad(now time.Duration, p *peer, m Message) {
	if m.Head && m.Cell != "" {
		l.cellCounts[m.Cell] = instanceCount{n: m.Count, receivedAt: now}
	}
	if m.Scope == ScopeNone {
		return
	}
	told := load{usage: m.Usage, slowdowns: m.Slowdowns, retries: m.Retries}
	if m.Scope == ScopeSender && l.isCountedAlone(p) {
		p.load = &told
		l.reportLoad(p.id, told)
		return
	}
	l.dropLoad(p)
	l.handleSum(now, m, told)
}

// handleSum takes the sum of a cell, or of all.
func (l *Logic) handleSum(now time.Duration, m Message, told load) {
	switch {
	case l.layout.isFlat():
	case l.isHead() && m.Scope == ScopeCell && m.Cell != l.layout.local.name:
		l.setSum(now, spec.InstanceID(cellSourcePrefix+m.Cell), told)
	case !l.isHead() && m.Scope == ScopeAllButReceiver && m.Cell == l.layout.local.name:
		l.cellCounts[fleetCountKey] = instanceCount{n: m.Count, receivedAt: now}
		l.setSum(now, fleetSource, told)
	}
}

func (l *Logic) setSum(now time.Duration, from spec.InstanceID, told load) {
	l.sums[from] = loadSum{load: told, receivedAt: now}
	l.reportLoad(from, told)
}

// reportLoad tells of the load of one instance or of several.
func (l *Logic) reportLoad(from spec.InstanceID, told load) {
	l.Receiver.ReceiveUsage(from, told.usage)
	l.Receiver.ReceiveSlowdowns(from, told.slowdowns)
	l.Receiver.ReceiveRetries(from, told.retries)
}

// fleetCountKey names the count of all instances, as a member hears of it.
const fleetCountKey = ""

// expireSums forgets sums that are not told any more, and what no longer fits the part
// that this instance has.
func (l *Logic) expireSums(now time.Duration) {
	for from, s := range l.sums {
		stale := now-s.receivedAt >= sumTTL
		if misfit := (from == fleetSource) == l.isHead() || l.layout.isFlat(); stale || misfit {
			delete(l.sums, from)
			l.reportLoad(from, load{})
		}
	}
	for _, p := range l.peersByID() {
		if !l.isCountedAlone(p) {
			l.dropLoad(p)
		}
	}
}

// isCountedAlone reports whether the requests of an instance count by its own word,
// not in the sum of several.
func (l *Logic) isCountedAlone(p *peer) bool {
	return l.layout.isFlat() || l.isHead() && l.inCell(p.id)
}

// dropLoad forgets what an instance told of its own requests.
func (l *Logic) dropLoad(p *peer) {
	if p.load != nil {
		p.load = nil
		l.reportLoad(p.id, load{})
	}
}

// localLoad is the load of this instance.
func (l *Logic) localLoad() load {
	return load{usage: l.Local.Usage(), slowdowns: l.Local.Slowdowns(), retries: l.Local.Retries()}
}

// cellLoad is the load of the own cell.
func (l *Logic) cellLoad(own load) load {
	out := newLoad()
	out.add(own)
	for _, p := range l.peersByID() {
		if p.load != nil {
			out.add(*p.load)
		}
	}
	return out
}

// fleetLoad is the load of all instances.
func (l *Logic) fleetLoad(cell load) load {
	out := newLoad()
	out.add(cell)
	for _, s := range l.sums {
		out.add(s.load)
	}
	return out
}

// scheduleNextSum notes that an instance was told a sum of some bytes.
func (l *Logic) scheduleNextSum(now time.Duration, p *peer, bytes int) {
	rate := remoteSumBytesPerSecond
	if p.centre == l.DataCentre {
		rate = localSumBytesPerSecond
	}
	pause := min(maxSumInterval, time.Duration(bytes)*time.Second/time.Duration(rate))
	p.nextSumAt = max(p.nextSumAt, now-roundInterval) + pause
}

func newLoad() load {
	return load{usage: usage{}, slowdowns: map[spec.UpstreamID]float64{}, retries: map[string]resend.Usage{}}
}

// add adds what other instances told.
func (d load) add(o load) {
	d.usage.add(o.usage)
	for id, pace := range o.slowdowns {
		d.slowdowns[id] = max(d.slowdowns[id], pace)
	}
	for service, c := range o.retries {
		d.retries[service] = d.retries[service].Plus(c)
	}
}

// without is what is left without one instance. The slowest pace of an engine stays.
func (d load) without(o *load) load {
	if o == nil {
		return d
	}
	out := load{usage: d.usage.without(o.usage), slowdowns: d.slowdowns, retries: maps.Clone(d.retries)}
	for service, c := range o.retries {
		out.retries[service] = out.retries[service].Minus(c)
	}
	return out
}

// add adds what other requests take.
func (u usage) add(o usage) {
	for service, engines := range o {
		mine := u[service]
		if mine == nil {
			mine = make(map[spec.UpstreamID]path.Usage, len(engines))
			u[service] = mine
		}
		for id, use := range engines {
			mine[id] = mine[id].Plus(use)
		}
	}
}

// without is what is left without the requests of one instance.
func (u usage) without(o usage) usage {
	out := make(usage, len(u))
	for service, engines := range u {
		left := maps.Clone(engines)
		for id, use := range o[service] {
			if left[id] = left[id].Minus(use); left[id].Streams <= 0 {
				delete(left, id)
			}
		}
		out[service] = left
	}
	return out
}

// countInstances is how many instances share what is bounded for all, this one among
// them. Those that nothing is known of count.
func (l *Logic) countInstances(now time.Duration) int {
	if l.layout.isFlat() {
		return l.countNearby(now)
	}
	if !l.isHead() {
		if c, ok := l.cellCounts[fleetCountKey]; ok && now-c.receivedAt < countTimeout {
			return c.n
		}
		return 1 + len(l.peers)
	}
	n := l.countNearby(now)
	for _, c := range l.layout.cells {
		switch told, ok := l.cellCounts[c.name]; {
		case c == l.layout.local:
		case ok && now-told.receivedAt < countTimeout:
			n += told.n
		default:
			n += len(c.ranked)
		}
	}
	return n
}

// countNearby is how many instances of the own cell there are; all in a flat fleet.
func (l *Logic) countNearby(now time.Duration) int {
	n := 1
	for _, p := range l.peersByID() {
		if p.lastSeen > 0 && now-p.lastSeen < countTimeout && (l.layout.isFlat() || l.inCell(p.id)) {
			n++
		}
	}
	return n
}
