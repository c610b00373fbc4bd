// Package ewma chooses among the upstreams of a plain service the one that is
// expected to answer first.
//
// It imports base/site and base/spec. Package app/edge keeps one Table per
// service and tells it how requests ended. It does no I/O and reads no clock.
//
// What is known of an upstream comes from its own answers: how long they took,
// how many failed, how old those still due are. A health check can be good
// while requests fail, so none is asked.
package ewma

import (
	"math"
	"slices"
	"sort"
	"time"

	"fulmarwick/internal/base/site"
	"fulmarwick/internal/base/spec"
)

//go:generate stringer -type=Outcome -linecomment -output=outcome_string.go

// Outcome says how a request at an upstream ended.
type Outcome int

// The ends.
const (
	OutcomeOK      Outcome = iota // ok
	OutcomeFailed                 // failed
	OutcomeRefused                // refused
	OutcomeLost                   // lost
	OutcomeUnknown                // unknown
)

const (
	// newestWeight is that of the newest answer in the averages; about the last five
	// count, fewer than one bad engine needs to show itself at 2 requests/s.
	newestWeight = 0.2
	// historyHalfLife is the time in which what is known loses half its weight, so that
	// an upstream that was left is tried again.
	historyHalfLife = 3 * time.Second
	// defaultLatency is the time to answer that is assumed of an unknown upstream.
	defaultLatency = 30 * time.Millisecond
	// cooldown is how long an upstream is left alone that refused a connection.
	cooldown = 500 * time.Millisecond
	// overdueFactor is how many times the usual time an answer may take before its
	// age counts as what the upstream takes now.
	overdueFactor = 3
	// reportedLoadTTL is the age at which an upstream's own count of its load no longer
	// counts: it turns over in a few requests.
	reportedLoadTTL = 400 * time.Millisecond
)

// upstreamStats is one upstream.
type upstreamStats struct {
	upstream site.Upstream
	// latency is the average time to an answer, bad the average share of
	// requests without a good one.
	latency     float64
	failureRate float64
	updatedAt   time.Duration
	// cooldownUntil is when it may be used again.
	cooldownUntil time.Duration
	// pending are the times at which requests that are still due were sent.
	pending []time.Duration
	// otherLoad is what it said of requests beside our own, and when.
	otherLoad  int
	reportedAt time.Duration
}

// Balancer is the upstreams of one service. It is not safe for concurrent use.
type Balancer struct {
	DataCentre spec.DataCentre

	upstreams []*upstreamStats
	byID      map[spec.UpstreamID]*upstreamStats
	rotation  int
}

// SetUpstreams sets which upstreams there are and keeps what is known of those that
// stay.
func (t *Balancer) SetUpstreams(ups []site.Upstream) {
	old := t.byID
	t.byID = map[spec.UpstreamID]*upstreamStats{}
	t.upstreams = t.upstreams[:0:0]
	for _, up := range ups {
		r := old[up.ID]
		if r == nil || r.upstream.Born != up.Born || r.upstream.Address != up.Address {
			r = &upstreamStats{latency: float64(defaultLatency)}
		}
		r.upstream = up
		t.upstreams = append(t.upstreams, r)
		t.byID[up.ID] = r
	}
	sort.Slice(t.upstreams, func(i, j int) bool { return t.upstreams[i].upstream.ID < t.upstreams[j].upstream.ID })
}

// Pick returns the best upstream that is not among avoid and counts a request
// as sent there. Upstreams that rest are used only if there is no other.
func (t *Balancer) Pick(now time.Duration, avoid []spec.UpstreamID) (site.Upstream, bool) {
	costs := make([]float64, len(t.upstreams))
	least := math.Inf(1)
	for i, r := range t.upstreams {
		costs[i] = math.Inf(1)
		if r.upstream.State == site.StateReady && !slices.Contains(avoid, r.upstream.ID) {
			costs[i] = r.cost(now, t.DataCentre)
		}
		least = min(least, costs[i])
	}
	if math.IsInf(least, 1) {
		return site.Upstream{}, false
	}
	t.rotation++
	for i := range t.upstreams {
		at := (i + t.rotation) % len(t.upstreams)
		if costs[at] <= least*similarCostRatio {
			t.upstreams[at].pending = append(t.upstreams[at].pending, now)
			return t.upstreams[at].upstream, true
		}
	}
	return site.Upstream{}, false
}

// similarCostRatio is the ratio of costs within which upstreams take turns. Without it all
// instances would load the same one, and one that was bad once would keep a
// last trace of it and never be tried again.
const similarCostRatio = 1.15

// remoteCentrePenalty is the time added for an upstream in another data centre: bytes
// between data centres are paid for.
const remoteCentrePenalty = 2 * time.Millisecond

// cooldownPenalty is added for an upstream that rests, above any time to answer.
const cooldownPenalty = float64(time.Hour)

// cost is the expected time to a good answer in nanoseconds.
func (r *upstreamStats) cost(now time.Duration, centre spec.DataCentre) float64 {
	keep := r.historyWeight(now)
	took := r.latency*keep + float64(defaultLatency)*(1-keep)
	for _, sent := range r.pending {
		if age := float64(now - sent); age > overdueFactor*took {
			took = age
		}
	}
	ahead := len(r.pending)
	if now-r.reportedAt < reportedLoadTTL && r.reportedAt > 0 {
		ahead += r.otherLoad
	}
	slots := max(1, r.upstream.Slots)
	wait := took * float64(ahead) / float64(slots)
	cost := (took + wait) / math.Pow(1-min(0.95, r.failureRate*keep), 2)
	if r.upstream.Centre != centre {
		cost += float64(remoteCentrePenalty)
	}
	if now < r.cooldownUntil {
		cost += cooldownPenalty
	}
	return cost
}

// historyWeight is the weight that what was learnt still has.
func (r *upstreamStats) historyWeight(now time.Duration) float64 {
	if r.updatedAt == 0 {
		return 1
	}
	return math.Exp2(-float64(now-r.updatedAt) / float64(historyHalfLife))
}

// RecordOutcome counts the end of a request that Pick sent. took is the time since
// then.
func (t *Balancer) RecordOutcome(now time.Duration, id spec.UpstreamID, took time.Duration, end Outcome) {
	r := t.byID[id]
	if r == nil {
		return
	}
	if i := slices.IndexFunc(r.pending, func(at time.Duration) bool { return at <= now-took }); i >= 0 {
		r.pending = slices.Delete(r.pending, i, i+1)
	} else if len(r.pending) > 0 {
		r.pending = r.pending[1:]
	}
	if end == OutcomeUnknown {
		return
	}
	keep := r.historyWeight(now)
	bad := 1.0
	if end == OutcomeOK {
		bad = 0
	}
	r.failureRate = r.failureRate*keep*(1-newestWeight) + bad*newestWeight
	if end == OutcomeOK || end == OutcomeLost {
		r.latency = (r.latency*keep+float64(defaultLatency)*(1-keep))*(1-newestWeight) + float64(took)*newestWeight
	}
	r.updatedAt = now
}

// StartCooldown leaves an upstream alone that accepts no connection.
func (t *Balancer) StartCooldown(now time.Duration, id spec.UpstreamID) {
	if r := t.byID[id]; r != nil {
		r.cooldownUntil = now + cooldown
	}
}

// ApplyReportedLoad takes an upstream's own count of its requests.
func (t *Balancer) ApplyReportedLoad(now time.Duration, id spec.UpstreamID, l site.Load) {
	r := t.byID[id]
	if r == nil {
		return
	}
	r.otherLoad = max(0, l.Running+l.Waiting-len(r.pending))
	r.reportedAt = now
}

// ExpectedLatency is the time in which an upstream of the service answers as a rule.
func (t *Balancer) ExpectedLatency(id spec.UpstreamID) time.Duration {
	if r := t.byID[id]; r != nil {
		return time.Duration(r.latency)
	}
	return defaultLatency
}
