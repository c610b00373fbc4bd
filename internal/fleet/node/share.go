package node

import (
	"fmt"
	"math"
	"slices"
	"time"

	"fulmarwick/internal/base/news"
	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/fleet/quota"
	"fulmarwick/internal/fleet/rank"
	"fulmarwick/internal/fleet/talk"
)

// Times of the sums.
const (
	// Shares are told every shareMin in a small data centre and every shareMax
	// in a large one, shareStep more for each instance there; rates likewise by
	// the instances of the fleet. So few instances know more exactly, and many
	// stay within their bytes.
	shareMin  = 500 * time.Millisecond
	shareStep = 40 * time.Millisecond
	shareMax  = 2 * time.Second
	ratesMin  = time.Second
	ratesStep = 10 * time.Millisecond
	ratesMax  = 4 * time.Second
	loadsLife = 6 * time.Second
	ratesLife = 16 * time.Second
	// perGroup is how many instances there are for each that adds up loads;
	// it bounds what one of them receives.
	perGroup = 4
	// smallFleet is up to how many instances all tell of their room.
	smallFleet = 16
	// maxRooms bounds the models whose sums are told.
	maxRooms = 256
	// sketchHalf is the time in which old use fades to half.
	sketchHalf = 10 * time.Second
)

// shares is what instances use, told and heard.
type shares struct {
	own    quota.Own
	sums   quota.Sums
	view   quota.View
	sketch quota.Sketch
	next   time.Duration
	rates  time.Duration
	// told is what was last told of an engine here, out what others use.
	told map[spec.UpstreamID]talk.Load
	out  map[spec.UpstreamID]EngineLoad
	// rooms are the latest sums per model that the routing logic told.
	rooms []news.Item
	// groups are the engines whose sums were heard, by group.
	groups map[string][]spec.UpstreamID
}

// use takes the own use from the routing logic.
func (l *Logic) use(item news.Item) {
	if item.Kind == news.KindRate {
		var r news.Rate
		if news.Decode(item, &r) == nil && r.Rate >= 0 {
			l.share.own.Rate(l.now, spec.TeamID(r.Team), r.Rate)
		}
		return
	}
	var b news.Load
	if news.Decode(item, &b) == nil {
		l.share.own.Load(talk.Load{Engine: spec.UpstreamID(b.Engine), Active: max(0, b.Active), Tokens: max(0, b.Tokens)})
	}
}

// tickShares tells the own use to those that add it up, and their sums on.
func (l *Logic) tickShares() {
	s := &l.share
	if l.now < s.next {
		return
	}
	able := l.active(l.Self.DataCentre)
	every := min(shareMax, shareMin+time.Duration(len(able))*shareStep)
	s.next = l.now + l.jitter(every)
	l.tickSketch(every)
	s.own.Tick(l.now)
	s.sums.Tick(l.now)
	s.view.Tick(l.now)
	l.tell(able)
	for _, u := range s.view.Teams(l.now, &s.own) {
		l.emit(TeamUse{Team: u.Team, Rate: u.Rate})
	}
}

// tickSketch makes rates of the heaviest teams of the sketch: decayed use over
// the mean time that it lasts.
func (l *Logic) tickSketch(passed time.Duration) {
	s := &l.share
	mean := sketchHalf.Seconds() / math.Ln2
	for _, c := range s.sketch.Top(quota.Heavy) {
		if rate := (c.Tokens() - c.Error()) / mean; rate > 0 {
			s.own.Rate(l.now, c.Team(), rate)
		}
	}
	s.sketch.Decay(math.Exp2(-passed.Seconds() / sketchHalf.Seconds()))
}

// letters are the shares of one tick, one per instance that adds up.
type letters struct {
	to     []spec.InstanceID
	shares []*talk.Share
}

func (t *letters) share(to spec.InstanceID) *talk.Share {
	if at := slices.Index(t.to, to); at >= 0 {
		return t.shares[at]
	}
	t.to = append(t.to, to)
	t.shares = append(t.shares, &talk.Share{})
	return t.shares[len(t.shares)-1]
}

// tell sends the own loads and, now and then, rates to those that add them
// up, and says the sums that are added up here.
func (l *Logic) tell(able []spec.InstanceID) {
	if len(able) == 0 {
		return
	}
	var out letters
	groups := max(1, (len(able)+perGroup-1)/perGroup)
	adders := l.adders(able)
	var mine []string
	for i := range groups {
		name := fmt.Sprintf("%d/%d", i, groups)
		to := adders[(i+1)%len(adders)]
		if to == l.Self.ID {
			mine = append(mine, name)
		}
		l.addLoads(out.share(to), in(name, groups))
	}
	rates := l.now >= l.share.rates
	if rates {
		l.share.rates = l.now + min(ratesMax, ratesMin+time.Duration(l.members.Len())*ratesStep)
		share := out.share(adders[0])
		share.HasRates, share.Rates = true, l.share.own.Rates()
	}
	l.sendShares(out)
	for _, name := range mine {
		l.sayLoads(name, in(name, groups))
	}
	if rates {
		l.sayRooms()
	}
	if rates && adders[0] == l.Self.ID {
		l.sayRates()
	}
}

// adders orders the instances that add up: the first adds up the rates, the
// next ones the groups of engines in turn. No instance has two of these parts
// unless there are few, and the gateways, which have the most to carry
// already, come last.
func (l *Logic) adders(able []spec.InstanceID) []spec.InstanceID {
	order := rank.Top("sums/"+string(l.Self.DataCentre), able, len(able))
	isGate := func(id spec.InstanceID) bool { return slices.Contains(l.remotes.gates, id) }
	gates := slices.DeleteFunc(slices.Clone(order), func(id spec.InstanceID) bool { return !isGate(id) })
	return append(slices.DeleteFunc(order, isGate), gates...)
}

func in(name string, groups int) func(spec.UpstreamID) bool {
	return func(e spec.UpstreamID) bool { return group(e, groups) == name }
}

// addLoads puts the own loads of a group into a share. An empty share is sent
// only to take back a former one.
func (l *Logic) addLoads(share *talk.Share, in func(spec.UpstreamID) bool) {
	loads := l.share.own.Loads(in)
	had := l.noteTold(in, loads)
	share.HasLoads = share.HasLoads || had || len(loads) > 0
	share.Loads = append(share.Loads, loads...)
}

func (l *Logic) sendShares(out letters) {
	for i, to := range out.to {
		share := out.shares[i]
		switch {
		case !share.HasLoads && len(share.Rates) == 0:
		case to == l.Self.ID:
			l.share.sums.Take(l.now, to, *share)
		default:
			l.to(to).Share = share
		}
	}
}

// noteTold notes what is told of a group and reports whether anything was
// told before.
func (l *Logic) noteTold(in func(spec.UpstreamID) bool, loads []talk.Load) bool {
	had := false
	told := l.share.told
	if told == nil {
		told = map[spec.UpstreamID]talk.Load{}
		l.share.told = told
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
