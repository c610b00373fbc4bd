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

// Times of the sums.
const (
	// Shares are told every shareMin in a small data centre and every shareMax
	// in a large one, shareStep more for each instance there; rates likewise by
	// the instances of the fleet. So few instances know more exactly, and many
	// stay within their bytes.
	minShareInterval         = 500 * time.Millisecond
	shareIntervalPerInstance = 40 * time.Millisecond
	maxShareInterval         = 2 * time.Second
	minRatesInterval         = time.Second
	ratesIntervalPerInstance = 10 * time.Millisecond
	maxRatesInterval         = 4 * time.Second
	loadsTTL                 = 6 * time.Second
	ratesTTL                 = 16 * time.Second
	// instancesPerGroup is how many instances there are for each that adds up loads;
	// it bounds what one of them receives.
	instancesPerGroup = 4
	// maxSmallFleet is up to how many instances all tell of their room.
	maxSmallFleet = 16
	// maxMemorySums bounds the models whose sums are told.
	maxMemorySums = 256
	// sketchHalfLife is the time in which old use fades to half.
	sketchHalfLife = 10 * time.Second
)

// shares is what instances use, told and heard.
type shares struct {
	local      quota.LocalUsage
	aggregator quota.Aggregator
	fleet      quota.FleetUsage
	sketch     quota.Sketch
	nextShares time.Duration
	nextRates  time.Duration
	// reportedLoads is what was last told of an engine here, out what others use.
	reportedLoads map[spec.UpstreamID]proto.Load
	peerLoads     map[spec.UpstreamID]PeerEngineLoad
	// memorySums are the latest sums per model that the routing logic told.
	memorySums []news.Item
	// groups are the engines whose sums were heard, by group.
	groups map[string][]spec.UpstreamID
}

// setLocalUsage takes the own use from the routing logic.
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

// tickShares tells the own use to those that add it up, and their sums on.
func (l *Logic) tickShares() {
	s := &l.shares
	if l.now < s.nextShares {
		return
	}
	able := l.activeInstances(l.Local.DataCentre)
	every := min(maxShareInterval, minShareInterval+time.Duration(len(able))*shareIntervalPerInstance)
	s.nextShares = l.now + l.jitter(every)
	l.tickSketch(every)
	s.local.Tick(l.now)
	s.aggregator.Tick(l.now)
	s.fleet.Tick(l.now)
	l.sendUsage(able)
	for _, u := range s.fleet.ChangedTeams(l.now, &s.local) {
		l.emit(TeamUsage{Team: u.Team, Rate: u.Rate})
	}
}

// tickSketch makes rates of the heaviest teams of the sketch: decayed use over
// the mean time that it lasts.
func (l *Logic) tickSketch(passed time.Duration) {
	s := &l.shares
	mean := sketchHalfLife.Seconds() / math.Ln2
	for _, c := range s.sketch.Top(quota.MaxHeavyTeams) {
		if rate := (c.Tokens() - c.Error()) / mean; rate > 0 {
			s.local.SetRate(l.now, c.Team(), rate)
		}
	}
	s.sketch.Decay(math.Exp2(-passed.Seconds() / sketchHalfLife.Seconds()))
}

// outgoingShares are the shares of one tick, one per instance that adds up.
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

// sendUsage sends the own loads and, now and then, rates to those that add them
// up, and says the sums that are added up here.
func (l *Logic) sendUsage(able []spec.InstanceID) {
	if len(able) == 0 {
		return
	}
	var out outgoingShares
	groups := max(1, (len(able)+instancesPerGroup-1)/instancesPerGroup)
	adders := l.orderAggregators(able)
	var mine []string
	for i := range groups {
		name := fmt.Sprintf("%d/%d", i, groups)
		to := adders[(i+1)%len(adders)]
		if to == l.Local.ID {
			mine = append(mine, name)
		}
		l.addLoads(out.shareFor(to), inGroup(name, groups))
	}
	rates := l.now >= l.shares.nextRates
	if rates {
		l.shares.nextRates = l.now + min(maxRatesInterval, minRatesInterval+time.Duration(l.members.Len())*ratesIntervalPerInstance)
		share := out.shareFor(adders[0])
		share.HasRates, share.Rates = true, l.shares.local.ReportRates()
	}
	l.sendShares(out)
	for _, name := range mine {
		l.publishLoads(name, inGroup(name, groups))
	}
	if rates {
		l.publishMemorySums()
	}
	if rates && adders[0] == l.Local.ID {
		l.publishRates()
	}
}

// orderAggregators orders the instances that add up: the first adds up the rates, the
// next ones the groups of engines in turn. No instance has two of these parts
// unless there are few, and the gateways, which have the most to carry
// already, come last.
func (l *Logic) orderAggregators(able []spec.InstanceID) []spec.InstanceID {
	order := rank.Top("sums/"+string(l.Local.DataCentre), able, len(able))
	isGate := func(id spec.InstanceID) bool { return slices.Contains(l.remoteCentres.gateways, id) }
	gates := slices.DeleteFunc(slices.Clone(order), func(id spec.InstanceID) bool { return !isGate(id) })
	return append(slices.DeleteFunc(order, isGate), gates...)
}

func inGroup(name string, groups int) func(spec.UpstreamID) bool {
	return func(e spec.UpstreamID) bool { return loadGroup(e, groups) == name }
}

// addLoads puts the own loads of a group into a share. An empty share is sent
// only to take back a former one.
func (l *Logic) addLoads(share *proto.Share, in func(spec.UpstreamID) bool) {
	loads := l.shares.local.Loads(in)
	had := l.recordReportedLoads(in, loads)
	share.HasLoads = share.HasLoads || had || len(loads) > 0
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

// recordReportedLoads notes what is told of a group and reports whether anything was
// told before.
func (l *Logic) recordReportedLoads(in func(spec.UpstreamID) bool, loads []proto.Load) bool {
	had := false
	told := l.shares.reportedLoads
	if told == nil {
		told = map[spec.UpstreamID]proto.Load{}
		l.shares.reportedLoads = told
	}
	for e := range told {
		if in(e) {
			had = true
			delete(told, e)
		}
	}
	for _, load := range loads {
		told[load.Engine] = load
	}
	return had
}
