package node

import (
	"fmt"
	"math"
	"slices"
	"time"

	"fulmarwick/internal/base/news"
	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/fleet/proto"
	"fulmarwick/internal/fleet/quota"
	"fulmarwick/internal/fleet/rank"
)

// Intervals and limits of shares and sums.
const (
	// Shares are sent every minShareInterval in a small data centre and at
	// most every maxShareInterval in a large one: the interval grows by
	// shareIntervalPerInstance for each instance there. Rates are sent
	// likewise, by the number of instances of the fleet. So small fleets
	// have more precise data, and large ones stay within their byte
	// budget.
	minShareInterval         = 500 * time.Millisecond
	shareIntervalPerInstance = 40 * time.Millisecond
	maxShareInterval         = 2 * time.Second
	minRatesInterval         = time.Second
	ratesIntervalPerInstance = 10 * time.Millisecond
	maxRatesInterval         = 4 * time.Second
	loadsTTL                 = 6 * time.Second
	ratesTTL                 = 16 * time.Second
	// instancesPerGroup is how many instances there are for each
	// aggregator of loads. It bounds what one aggregator receives.
	instancesPerGroup = 4
	// maxSmallFleet is the number of instances up to which all of them
	// publish their free KV memory.
	maxSmallFleet = 16
	// maxMemorySums bounds the models whose memory sums are published.
	maxMemorySums = 256
	// sketchHalfLife is the time in which old usage decays to half.
	sketchHalfLife = 10 * time.Second
)

// shares holds the local usage and the usage reported by peers.
type shares struct {
	local      quota.LocalUsage
	aggregator quota.Aggregator
	fleet      quota.FleetUsage
	sketch     quota.Sketch
	nextShares time.Duration
	nextRates  time.Duration
	// reportedLoads is what this instance last reported per engine,
	// peerLoads what its peers use.
	reportedLoads map[spec.UpstreamID]proto.Load
	peerLoads     map[spec.UpstreamID]PeerEngineLoad
	// memorySums are the latest sums per model from the routing logic.
	memorySums []news.Item
	// groups are the engines whose sums were received, by group.
	groups map[string][]spec.UpstreamID
}

// setLocalUsage records the local usage that the routing logic published.
func (l *Logic) setLocalUsage(item news.Item) {
	if item.Kind == news.KindRate {
		var r news.Rate
		if news.Decode(item, &r) == nil && r.Rate >= 0 {
			l.shares.local.SetRate(l.now, spec.TeamID(r.Team), r.Rate)
		}
		return
	}
	var b news.Load
	if news.Decode(item, &b) == nil {
		l.shares.local.SetLoad(proto.Load{Engine: spec.UpstreamID(b.Engine), Active: max(0, b.Active), Tokens: max(0, b.Tokens)})
	}
}

// tickShares sends the local usage to the aggregators, and reports the
// fleet-wide usage of teams to the driver.
func (l *Logic) tickShares() {
	s := &l.shares
	if l.now < s.nextShares {
		return
	}
	active := l.activeInstances(l.Local.DataCentre)
	interval := min(maxShareInterval, minShareInterval+time.Duration(len(active))*shareIntervalPerInstance)
	s.nextShares = l.now + l.jitter(interval)
	l.tickSketch(interval)
	s.local.Tick(l.now)
	s.aggregator.Tick(l.now)
	s.fleet.Tick(l.now)
	l.sendUsage(active)
	for _, u := range s.fleet.ChangedTeams(l.now, &s.local) {
		l.emit(TeamUsage{Team: u.Team, Rate: u.Rate})
	}
}

// tickSketch turns the heaviest teams of the sketch into rates: decayed usage
// divided by its mean lifetime.
func (l *Logic) tickSketch(elapsed time.Duration) {
	s := &l.shares
	mean := sketchHalfLife.Seconds() / math.Ln2
	for _, c := range s.sketch.Top(quota.MaxHeavyTeams) {
		if rate := (c.Tokens() - c.Error()) / mean; rate > 0 {
			s.local.SetRate(l.now, c.Team(), rate)
		}
	}
	s.sketch.Decay(math.Exp2(-elapsed.Seconds() / sketchHalfLife.Seconds()))
}

// outgoingShares are the shares of one tick, one per aggregator.
type outgoingShares struct {
	receivers []spec.InstanceID
	shares    []*proto.Share
}

func (t *outgoingShares) shareFor(to spec.InstanceID) *proto.Share {
	if at := slices.Index(t.receivers, to); at >= 0 {
		return t.shares[at]
	}
	t.receivers = append(t.receivers, to)
	t.shares = append(t.shares, &proto.Share{})
	return t.shares[len(t.shares)-1]
}

// sendUsage sends the local loads, and less often the rates, to their
// aggregators, and publishes the sums that this instance aggregates.
func (l *Logic) sendUsage(active []spec.InstanceID) {
	if len(active) == 0 {
		return
	}
	var out outgoingShares
	groups := max(1, (len(active)+instancesPerGroup-1)/instancesPerGroup)
	aggregators := l.orderAggregators(active)
	var ownGroups []string
	for i := range groups {
		name := fmt.Sprintf("%d/%d", i, groups)
		to := aggregators[(i+1)%len(aggregators)]
		if to == l.Local.ID {
			ownGroups = append(ownGroups, name)
		}
		l.addLoads(out.shareFor(to), inGroup(name, groups))
	}
	ratesDue := l.now >= l.shares.nextRates
	if ratesDue {
		l.shares.nextRates = l.now + min(maxRatesInterval, minRatesInterval+time.Duration(l.members.Len())*ratesIntervalPerInstance)
		share := out.shareFor(aggregators[0])
		share.HasRates, share.Rates = true, l.shares.local.ReportRates()
	}
	l.sendShares(out)
	for _, name := range ownGroups {
		l.publishLoads(name, inGroup(name, groups))
	}
	if ratesDue {
		l.publishMemorySums()
	}
	if ratesDue && aggregators[0] == l.Local.ID {
		l.publishRates()
	}
}

// orderAggregators returns the aggregators in order: the first aggregates the
// rates, the next ones the groups of engines in turn. An instance has two of
// these roles only if there are few instances. The gateways come last, since
// they already carry the most traffic.
func (l *Logic) orderAggregators(active []spec.InstanceID) []spec.InstanceID {
	order := rank.Top("sums/"+string(l.Local.DataCentre), active, len(active))
	isGateway := func(id spec.InstanceID) bool { return slices.Contains(l.remoteCentres.gateways, id) }
	gateways := slices.DeleteFunc(slices.Clone(order), func(id spec.InstanceID) bool { return !isGateway(id) })
	return append(slices.DeleteFunc(order, isGateway), gateways...)
}

func inGroup(name string, groups int) func(spec.UpstreamID) bool {
	return func(e spec.UpstreamID) bool { return loadGroup(e, groups) == name }
}

// addLoads adds the local loads of a group to a share. An empty share is sent
// only to withdraw a former one.
func (l *Logic) addLoads(share *proto.Share, in func(spec.UpstreamID) bool) {
	loads := l.shares.local.Loads(in)
	hadLoads := l.recordReportedLoads(in, loads)
	share.HasLoads = share.HasLoads || hadLoads || len(loads) > 0
	share.Loads = append(share.Loads, loads...)
}

func (l *Logic) sendShares(out outgoingShares) {
	for i, to := range out.receivers {
		share := out.shares[i]
		switch {
		case !share.HasLoads && len(share.Rates) == 0:
		case to == l.Local.ID:
			l.shares.aggregator.SetShare(l.now, to, *share)
		default:
			l.messageFor(to).Share = share
		}
	}
}

// recordReportedLoads records the reported loads of a group and returns
// whether any were reported before.
func (l *Logic) recordReportedLoads(in func(spec.UpstreamID) bool, loads []proto.Load) bool {
	hadLoads := false
	reported := l.shares.reportedLoads
	if reported == nil {
		reported = map[spec.UpstreamID]proto.Load{}
		l.shares.reportedLoads = reported
	}
	for e := range reported {
		if in(e) {
			hadLoads = true
			delete(reported, e)
		}
	}
	for _, load := range loads {
		reported[load.Engine] = load
	}
	return hadLoads
}
