package mesh

import (
	"maps"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/path"
	"fulmarwick/internal/route/resend"
	"fulmarwick/internal/route/share"
)

const (
	// sumTTL is how long the sum of a cell counts without a new one. It outlasts the
	// time without a message after which the other head of the cell sends it.
	sumTTL = peerTimeout + maxSumInterval + roundInterval
	// localSumBytesPerSecond is how many bytes a second the sums for one instance in
	// the local data centre may take. Sums over many engines are sent less often, but
	// after maxSumInterval at the latest, well within sumTTL.
	localSumBytesPerSecond = 22 << 10
	// remoteSumBytesPerSecond is the same for an instance in another data centre.
	remoteSumBytesPerSecond = 6 << 10
	// remoteLoadInterval is the interval between two loads of a single instance to one in
	// another data centre, where fewer of its requests run. An engine turns over a few
	// percent of its requests in that time.
	remoteLoadInterval = 3 * roundInterval
	// maxSumInterval is the maximum interval between two sums to one instance.
	maxSumInterval = 8 * roundInterval
	// fleetSource names the load of all other instances in reports to a member.
	fleetSource = spec.InstanceID("all")
	// cellSourcePrefix begins the name of the load of a cell.
	cellSourcePrefix = "cell:"
)

// load is the usage, slowdowns, retries and teams of requests, as reported by one or
// several instances.
type load struct {
	usage     usage
	slowdowns map[spec.UpstreamID]float64
	retries   map[string]resend.Usage
	teams     map[string]share.Usage
}

// usage is how much requests use, by service and engine.
type usage map[string]map[spec.UpstreamID]path.Usage

// loadSum is the last reported load of several instances.
type loadSum struct {
	load
	receivedAt time.Duration
}

// instanceCount is the last reported number of instances in a cell or in the fleet.
type instanceCount struct {
	n          int
	receivedAt time.Duration
}

// handleLoad applies the load reported by a peer. Each request counts once: a member
// uses the sum of the fleet; a head uses the sums of other cells and its own members
// one by one.
func (l *Logic) handleLoad(now time.Duration, p *peer, m Message) {
	if m.Head && m.Cell != "" {
		l.cellCounts[m.Cell] = instanceCount{n: m.Count, receivedAt: now}
	}
	if m.Scope == ScopeNone {
		if l.layout.isFlat() && len(m.Retries) > 0 {
			l.Receiver.ReceiveRetries(p.id, m.Retries)
		}
		return
	}
	reported := load{usage: m.Usage, slowdowns: m.Slowdowns, retries: m.Retries, teams: m.Teams}
	if m.Scope == ScopeSender && l.isCountedAlone(p) {
		p.load = &reported
		l.reportLoad(p.id, reported)
		return
	}
	l.dropLoad(p)
	l.handleSum(now, m, reported)
}

// handleSum applies the sum of a cell or of the fleet.
func (l *Logic) handleSum(now time.Duration, m Message, reported load) {
	switch {
	case l.layout.isFlat():
	case l.isHead() && m.Scope == ScopeCell && m.Cell != l.layout.local.name:
		l.setSum(now, spec.InstanceID(cellSourcePrefix+m.Cell), reported)
	case !l.isHead() && m.Scope == ScopeAllButReceiver && m.Cell == l.layout.local.name:
		l.cellCounts[fleetCountKey] = instanceCount{n: m.Count, receivedAt: now}
		l.setSum(now, fleetSource, reported)
	}
}

func (l *Logic) setSum(now time.Duration, from spec.InstanceID, reported load) {
	l.sums[from] = loadSum{load: reported, receivedAt: now}
	l.reportLoad(from, reported)
}

// reportLoad passes the load of one or several instances to the receiver.
func (l *Logic) reportLoad(from spec.InstanceID, reported load) {
	l.Receiver.ReceiveUsage(from, reported.usage)
	l.Receiver.ReceiveSlowdowns(from, reported.slowdowns)
	l.Receiver.ReceiveRetries(from, reported.retries)
	l.Receiver.ReceiveTeams(from, reported.teams)
}

// fleetCountKey is the key in cellCounts for the count of all instances that a head
// reports to a member.
const fleetCountKey = ""

// expireSums drops sums that are no longer reported, and loads that no longer fit the
// role of this instance.
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

// isCountedAlone reports whether the requests of an instance count by its own report,
// not as part of a sum.
func (l *Logic) isCountedAlone(p *peer) bool {
	return l.layout.isFlat() || l.isHead() && l.inCell(p.id)
}

// dropLoad drops the load that a peer reported for its own requests.
func (l *Logic) dropLoad(p *peer) {
	if p.load != nil {
		p.load = nil
		l.reportLoad(p.id, load{})
	}
}

// localLoad returns the load of this instance.
func (l *Logic) localLoad() load {
	return load{usage: l.Local.Usage(), slowdowns: l.Local.Slowdowns(), retries: l.Local.Retries(), teams: l.Local.Teams()}
}

// cellLoad returns the load of the local cell.
func (l *Logic) cellLoad(local load) load {
	out := newLoad()
	out.add(local)
	for _, p := range l.peersByID() {
		if p.load != nil {
			out.add(*p.load)
		}
	}
	return out
}

// fleetLoad returns the load of all instances.
func (l *Logic) fleetLoad(cell load) load {
	out := newLoad()
	out.add(cell)
	for _, s := range l.sums {
		out.add(s.load)
	}
	return out
}

// isPaced reports whether load of a scope is not sent to a peer in every round: that of
// many instances, and in a flat fleet that for another data centre, to which traffic is
// charged for.
func (l *Logic) isPaced(scope Scope, p *peer) bool {
	return scope == ScopeCell || scope == ScopeAllButReceiver || scope == ScopeSender && l.layout.isFlat() && p.centre != l.DataCentre
}

// scheduleNextLoad records that a load whose message has the given size was sent to a peer.
func (l *Logic) scheduleNextLoad(now time.Duration, p *peer, scope Scope, bytes int) {
	p.nextLoadAt = max(p.nextLoadAt, now-roundInterval) + l.loadInterval(p, scope, bytes)
}

// loadInterval returns the interval between two loads to a peer.
func (l *Logic) loadInterval(p *peer, scope Scope, bytes int) time.Duration {
	rate := remoteSumBytesPerSecond
	switch {
	case scope == ScopeSender:
		return remoteLoadInterval
	case p.centre == l.DataCentre:
		rate = localSumBytesPerSecond
	}
	return min(maxSumInterval, time.Duration(bytes)*time.Second/time.Duration(rate))
}

func newLoad() load {
	return load{usage: usage{}, slowdowns: map[spec.UpstreamID]float64{}, retries: map[string]resend.Usage{}, teams: map[string]share.Usage{}}
}

// add adds the load of other instances.
func (d load) add(o load) {
	d.usage.add(o.usage)
	for id, slowdown := range o.slowdowns {
		d.slowdowns[id] = max(d.slowdowns[id], slowdown)
	}
	for service, counts := range o.retries {
		d.retries[service] = d.retries[service].Plus(counts)
	}
	for service, teams := range o.teams {
		d.teams[service] = d.teams[service].Plus(teams)
	}
}

// without returns the load without that of one instance. The highest slowdown of an
// engine stays.
func (d load) without(o *load) load {
	if o == nil {
		return d
	}
	out := load{usage: d.usage.without(o.usage), slowdowns: d.slowdowns, retries: maps.Clone(d.retries), teams: maps.Clone(d.teams)}
	for service, counts := range o.retries {
		out.retries[service] = out.retries[service].Minus(counts)
	}
	for service, teams := range o.teams {
		out.teams[service] = out.teams[service].Minus(teams)
	}
	return out
}

// add adds the usage of other requests.
func (u usage) add(o usage) {
	for service, engines := range o {
		sum := u[service]
		if sum == nil {
			sum = make(map[spec.UpstreamID]path.Usage, len(engines))
			u[service] = sum
		}
		for id, added := range engines {
			sum[id] = sum[id].Plus(added)
		}
	}
}

// without returns the usage without the requests of one instance.
func (u usage) without(o usage) usage {
	out := make(usage, len(u))
	for service, engines := range u {
		left := maps.Clone(engines)
		for id, removed := range o[service] {
			if left[id] = left[id].Minus(removed); left[id].Streams <= 0 {
				delete(left, id)
			}
		}
		out[service] = left
	}
	return out
}

// countInstances returns how many instances share fleet-wide limits, including this
// one. Instances that have reported nothing count too.
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
		switch reported, ok := l.cellCounts[c.name]; {
		case c == l.layout.local:
		case ok && now-reported.receivedAt < countTimeout:
			n += reported.n
		default:
			n += len(c.ranked)
		}
	}
	return n
}

// countNearby returns the number of instances in the local cell, or in the whole fleet
// if it is flat.
func (l *Logic) countNearby(now time.Duration) int {
	n := 1
	for _, p := range l.peersByID() {
		if p.lastSeen > 0 && now-p.lastSeen < countTimeout && (l.layout.isFlat() || l.inCell(p.id)) {
			n++
		}
	}
	return n
}
