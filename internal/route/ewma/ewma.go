// Package ewma chooses among the upstreams of a plain service the one that is expected
// to answer first. It keeps exponentially weighted moving averages of their latencies
// and failure rates.
//
// It imports base/site and base/spec. Package app/edge keeps one Balancer per service
// and reports the outcomes of requests to it. It does no I/O and reads no clock.
//
// All knowledge of an upstream comes from its own answers: how long they took, how many
// failed, and the age of pending ones. Health checks are not used, since one can pass
// while requests fail.
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

// Outcome is how a request to an upstream ended.
type Outcome int

// Outcomes of a request.
const (
	OutcomeOK      Outcome = iota // ok
	OutcomeFailed                 // failed
	OutcomeRefused                // refused
	OutcomeLost                   // lost
	OutcomeUnknown                // unknown
)

const (
	// newestWeight is the weight of the newest answer in the averages. About the last
	// five answers count, fewer than a bad engine needs to show itself at 2 requests/s.
	newestWeight = 0.2
	// historyHalfLife is the time in which the averages lose half their weight, so that
	// an upstream that was avoided is tried again.
	historyHalfLife = 3 * time.Second
	// defaultLatency is the latency that is assumed for an unknown upstream.
	defaultLatency = 30 * time.Millisecond
	// cooldown is how long an upstream is avoided after it refused a connection.
	cooldown = 500 * time.Millisecond
	// overdueFactor is how many times the usual latency an answer may take before its
	// age counts as the current latency of the upstream.
	overdueFactor = 3
	// reportedLoadTTL is the age at which the load that an upstream reported no longer
	// counts: the load turns over in a few requests.
	reportedLoadTTL = 400 * time.Millisecond
)

// upstreamStats holds the statistics of one upstream.
type upstreamStats struct {
	upstream site.Upstream
	// latency is the average latency of an answer. failureRate is the average share of
	// requests without a good answer.
	latency     float64
	failureRate float64
	updatedAt   time.Duration
	// cooldownUntil is when the upstream may be used again.
	cooldownUntil time.Duration
	// pending are the times at which requests without an answer yet were sent.
	pending []time.Duration
	// otherLoad is the last reported number of requests besides the local ones.
	// reportedAt is when it was reported.
	otherLoad  int
	reportedAt time.Duration
}

// Balancer holds the upstreams of one service. It is not safe for concurrent use.
type Balancer struct {
	DataCentre spec.DataCentre
	// InBackoff reports whether an upstream asked for backoff; nil means that
	// none did.
	InBackoff func(now time.Duration, id spec.UpstreamID) bool
	// IsLimited reports whether the rate limit of an upstream leaves no room for a request
	// at present; nil means that none has a limit.
	IsLimited func(id spec.UpstreamID) bool

	upstreams []*upstreamStats
	byID      map[spec.UpstreamID]*upstreamStats
	rotation  int
}

// SetUpstreams replaces the set of upstreams and keeps the statistics of those that
// stay.
func (b *Balancer) SetUpstreams(ups []site.Upstream) {
	old := b.byID
	b.byID = map[spec.UpstreamID]*upstreamStats{}
	b.upstreams = b.upstreams[:0:0]
	for _, up := range ups {
		s := old[up.ID]
		if s == nil || s.upstream.Born != up.Born || s.upstream.Address != up.Address {
			s = &upstreamStats{latency: float64(defaultLatency)}
		}
		s.upstream = up
		b.upstreams = append(b.upstreams, s)
		b.byID[up.ID] = s
	}
	sort.Slice(b.upstreams, func(i, j int) bool { return b.upstreams[i].upstream.ID < b.upstreams[j].upstream.ID })
}

// Pick returns the best upstream that is not in avoid and counts a request as sent to
// it. Upstreams in cooldown are used only if there is no other.
func (b *Balancer) Pick(now time.Duration, avoid []spec.UpstreamID) (site.Upstream, bool) {
	costs := make([]float64, len(b.upstreams))
	lowest := math.Inf(1)
	for i, s := range b.upstreams {
		costs[i] = math.Inf(1)
		if b.accepts(now, s.upstream) && !slices.Contains(avoid, s.upstream.ID) {
			costs[i] = s.cost(now, b.DataCentre)
		}
		lowest = min(lowest, costs[i])
	}
	if math.IsInf(lowest, 1) {
		return site.Upstream{}, false
	}
	b.rotation++
	for i := range b.upstreams {
		index := (i + b.rotation) % len(b.upstreams)
		if costs[index] <= lowest*similarCostRatio {
			b.upstreams[index].pending = append(b.upstreams[index].pending, now)
			return b.upstreams[index].upstream, true
		}
	}
	return site.Upstream{}, false
}

// accepts reports whether an upstream may get new requests.
func (b *Balancer) accepts(now time.Duration, up site.Upstream) bool {
	return up.State == site.StateReady && (b.InBackoff == nil || !b.InBackoff(now, up.ID)) && (b.IsLimited == nil || !b.IsLimited(up.ID))
}

// similarCostRatio is the ratio of costs within which upstreams are used in rotation.
// Without it all instances would load the same upstream, and one that failed once would
// keep a small remainder of its failure rate and never be tried again.
const similarCostRatio = 1.15

// remoteCentrePenalty is the time added for an upstream in another data centre: traffic
// between data centres is paid for.
const remoteCentrePenalty = 2 * time.Millisecond

// cooldownPenalty is added for an upstream in cooldown; it exceeds any latency.
const cooldownPenalty = float64(time.Hour)

// cost returns the expected time to a good answer in nanoseconds.
func (s *upstreamStats) cost(now time.Duration, centre spec.DataCentre) float64 {
	weight := s.historyWeight(now)
	latency := s.latency*weight + float64(defaultLatency)*(1-weight)
	for _, sent := range s.pending {
		if age := float64(now - sent); age > overdueFactor*latency {
			latency = age
		}
	}
	queued := len(s.pending)
	if now-s.reportedAt < reportedLoadTTL && s.reportedAt > 0 {
		queued += s.otherLoad
	}
	slots := max(1, s.upstream.Slots)
	wait := latency * float64(queued) / float64(slots)
	cost := (latency + wait) / math.Pow(1-min(0.95, s.failureRate*weight), 2)
	if s.upstream.Centre != centre {
		cost += float64(remoteCentrePenalty)
	}
	if now < s.cooldownUntil {
		cost += cooldownPenalty
	}
	return cost
}

// historyWeight returns the weight that the averages still have.
func (s *upstreamStats) historyWeight(now time.Duration) float64 {
	if s.updatedAt == 0 {
		return 1
	}
	return math.Exp2(-float64(now-s.updatedAt) / float64(historyHalfLife))
}

// RecordOutcome records the outcome of a request that Pick sent. took is the time since
// then.
func (b *Balancer) RecordOutcome(now time.Duration, id spec.UpstreamID, took time.Duration, outcome Outcome) {
	s := b.byID[id]
	if s == nil {
		return
	}
	if i := slices.IndexFunc(s.pending, func(at time.Duration) bool { return at <= now-took }); i >= 0 {
		s.pending = slices.Delete(s.pending, i, i+1)
	} else if len(s.pending) > 0 {
		s.pending = s.pending[1:]
	}
	if outcome == OutcomeUnknown {
		return
	}
	weight := s.historyWeight(now)
	failed := 1.0
	if outcome == OutcomeOK {
		failed = 0
	}
	s.failureRate = s.failureRate*weight*(1-newestWeight) + failed*newestWeight
	if outcome == OutcomeOK || outcome == OutcomeLost {
		s.latency = (s.latency*weight+float64(defaultLatency)*(1-weight))*(1-newestWeight) + float64(took)*newestWeight
	}
	s.updatedAt = now
}

// StartCooldown avoids an upstream that accepts no connection for the time of a
// cooldown.
func (b *Balancer) StartCooldown(now time.Duration, id spec.UpstreamID) {
	if s := b.byID[id]; s != nil {
		s.cooldownUntil = now + cooldown
	}
}

// ApplyReportedLoad applies the number of requests that an upstream reported.
func (b *Balancer) ApplyReportedLoad(now time.Duration, id spec.UpstreamID, load site.Load) {
	s := b.byID[id]
	if s == nil {
		return
	}
	s.otherLoad = max(0, load.Running+load.Waiting-len(s.pending))
	s.reportedAt = now
}

// ExpectedLatency returns the expected latency of an upstream of the service.
func (b *Balancer) ExpectedLatency(id spec.UpstreamID) time.Duration {
	if s := b.byID[id]; s != nil {
		return time.Duration(s.latency)
	}
	return defaultLatency
}
