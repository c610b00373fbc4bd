package node

import (
	"slices"
	"strings"
	"time"

	"fulmarwick/internal/base/news"
	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/fleet/proto"
	"fulmarwick/internal/fleet/rank"
)

const (
	// gatewaysPerCentre is how many instances of a data centre exchange
	// items with other data centres. With two, the loss of one cuts
	// nothing off.
	gatewaysPerCentre = 2
	// remoteExchangeInterval is the time between two exchanges of a
	// gateway with one other data centre. Urgent items are pushed and do
	// not wait for it.
	remoteExchangeInterval = 3 * time.Second
	// partnerCooldown is how long a partner that did not answer is
	// skipped.
	partnerCooldown = 10 * time.Second
	// cutOffTimeout is the time without messages after which a data centre
	// is considered cut off.
	cutOffTimeout = 8 * time.Second
	// reachabilityInterval is the time between two checks which data
	// centres are reachable.
	reachabilityInterval = 500 * time.Millisecond
	// reachabilityTTL is how long the report of a gateway on a data centre
	// is valid.
	reachabilityTTL = 15 * time.Second
)

// remoteCentres holds the other data centres, in order of name.
type remoteCentres struct {
	rows                  []*remoteCentre
	version               uint64
	listedCount           int
	gateways              []spec.InstanceID
	isGateway             bool
	gatewayRank           int
	nextReachabilityCheck time.Duration
	avoidUntil            map[spec.InstanceID]time.Duration
}

type remoteCentre struct {
	centre       spec.DataCentre
	partner      spec.InstanceID
	nextExchange time.Duration
	lastSeen     time.Duration
	reportedAt   time.Duration
	// cutOff is what this gateway found, unreachable what all gateways of
	// the local data centre report.
	cutOff      bool
	unreachable bool
}

// isFirstGateway reports whether this instance is the first gateway. Only that
// one publishes the memory sums of its data centre in a large fleet.
func (l *Logic) isFirstGateway() bool {
	return l.remoteCentres.isGateway && l.remoteCentres.gatewayRank == 0
}

// tickRemoteCentres starts the exchanges of a gateway with other data centres.
func (l *Logic) tickRemoteCentres() {
	r := &l.remoteCentres
	if r.version != l.members.Version() || r.listedCount != len(l.discovered.peers) {
		r.version, r.listedCount = l.members.Version(), len(l.discovered.peers)
		l.updateRemoteCentres()
	}
	if !r.isGateway {
		return
	}
	for _, c := range r.rows {
		if l.now >= c.nextExchange {
			c.nextExchange = l.now + l.jitter(remoteExchangeInterval)
			l.exchangeWithCentre(c)
		}
		l.reportReachability(c)
	}
}

// updateRemoteCentres finds the other data centres and determines whether this
// instance is a gateway.
func (l *Logic) updateRemoteCentres() {
	r := &l.remoteCentres
	r.gateways = rank.Top(gatewayKey(l.Local.DataCentre), l.activeInstances(l.Local.DataCentre), gatewaysPerCentre)
	r.gatewayRank = slices.Index(r.gateways, l.Local.ID)
	wasGateway := r.isGateway
	r.isGateway = r.gatewayRank >= 0
	l.members.Each(func(rec proto.Record) { l.addRemoteCentre(rec.DataCentre) })
	for _, p := range l.discovered.peers {
		l.addRemoteCentre(p.DataCentre)
	}
	if r.isGateway && !wasGateway {
		for _, c := range r.rows {
			c.lastSeen = l.now
		}
	}
}

func gatewayKey(c spec.DataCentre) string { return "gate/" + string(c) }

func (l *Logic) addRemoteCentre(centre spec.DataCentre) {
	if centre == l.Local.DataCentre || centre == "" {
		return
	}
	rows := l.remoteCentres.rows
	at, found := slices.BinarySearchFunc(rows, centre, func(r *remoteCentre, c spec.DataCentre) int {
		return strings.Compare(string(r.centre), string(c))
	})
	if !found {
		row := &remoteCentre{centre: centre, lastSeen: l.now, nextExchange: l.now + time.Duration(l.Rand.Int64N(int64(remoteExchangeInterval/4)))}
		l.remoteCentres.rows = slices.Insert(rows, at, row)
	}
}

// exchangeWithCentre starts an exchange with a gateway of another data centre,
// or with another listed instance there if none is known to be alive.
func (l *Logic) exchangeWithCentre(c *remoteCentre) {
	ids := l.activeInstances(c.centre)
	if len(ids) == 0 {
		ids = l.discovered.inCentre(c.centre)
	}
	ids = slices.DeleteFunc(ids, func(id spec.InstanceID) bool { return l.now < l.remoteCentres.avoidUntil[id] })
	if len(ids) == 0 {
		clear(l.remoteCentres.avoidUntil)
		return
	}
	top := rank.Top(gatewayKey(c.centre), ids, gatewaysPerCentre)
	c.partner = top[l.remoteCentres.gatewayRank%len(top)]
	l.startExchange(c.partner, purposeBestEffort)
}

func (s *discoveryList) inCentre(centre spec.DataCentre) []spec.InstanceID {
	var out []spec.InstanceID
	for _, p := range s.peers {
		if p.DataCentre == centre {
			out = append(out, p.ID)
		}
	}
	return out
}

// partners returns the instances in other data centres that a gateway pushes
// to.
func (r *remoteCentres) partners() []spec.InstanceID {
	if !r.isGateway {
		return nil
	}
	var out []spec.InstanceID
	for _, c := range r.rows {
		if c.partner != "" && !c.cutOff {
			out = append(out, c.partner)
		}
	}
	return out
}

// avoidPartner skips an instance that did not answer for partnerCooldown.
func (r *remoteCentres) avoidPartner(id spec.InstanceID, now time.Duration) {
	if r.avoidUntil == nil {
		r.avoidUntil = map[spec.InstanceID]time.Duration{}
	}
	r.avoidUntil[id] = now + partnerCooldown
}

// recordContact records a message from another data centre.
func (r *remoteCentres) recordContact(centre spec.DataCentre, now time.Duration) {
	for _, c := range r.rows {
		if c.centre == centre {
			c.lastSeen = now
		}
	}
}

// reportReachability publishes in the local data centre whether the other one
// can be reached.
func (l *Logic) reportReachability(c *remoteCentre) {
	cutOff := l.now-c.lastSeen >= cutOffTimeout
	if cutOff == c.cutOff && (!cutOff || l.now-c.reportedAt < reachabilityTTL/3) {
		return
	}
	c.cutOff = cutOff
	c.reportedAt = l.now
	item, err := news.New(news.KindReach, string(c.centre), news.ScopeCentre, reachabilityTTL.Milliseconds(), news.Reachability{Unreachable: cutOff})
	if err != nil {
		return
	}
	_, _ = l.items.Publish(l.now, item)
}

// isReachable reports whether a data centre can be reached. One gateway that
// reaches it is enough.
func (l *Logic) isReachable(centre spec.DataCentre) bool {
	if centre == l.Local.DataCentre {
		return true
	}
	for _, id := range l.remoteCentres.gateways {
		item, ok := l.items.Get(news.KindReach, id, string(centre))
		var report news.Reachability
		if !ok || news.Decode(item, &report) != nil || !report.Unreachable {
			return true
		}
	}
	return false
}

// updateReachability updates which data centres are reachable.
func (l *Logic) updateReachability() {
	if l.now < l.remoteCentres.nextReachabilityCheck {
		return
	}
	l.remoteCentres.nextReachabilityCheck = l.now + reachabilityInterval
	for _, c := range l.remoteCentres.rows {
		if unreachable := !l.isReachable(c.centre); unreachable != c.unreachable {
			c.unreachable = unreachable
			l.assignments.dirty = true
		}
	}
}
