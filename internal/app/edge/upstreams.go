package edge

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"fulmarwick/internal/base/site"
	"fulmarwick/internal/state/feed"
	"fulmarwick/platform"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"
)

// missingUpstreamGrace is how long upstreams that are missing from the list are kept after
// the store is reachable again. Rows expire while upstreams can't renew them, and are back
// within about two seconds after the store returns.
const missingUpstreamGrace = 2200 * time.Millisecond

// fingerprintUpstream hashes the content of an upstream's row, without the fields that each
// heartbeat rewrites.
func fingerprintUpstream(key string, value []byte) uint64 {
	u, err := platform.ParseUpstream(key, 0, value)
	if err != nil {
		return xxhash.Sum64(value)
	}
	return xxhash.Sum64String(fmt.Sprintf("%+v", u))
}

// upstreamStage orders the values that a process of an upstream writes: it is ready first, then it
// leaves for good.
func upstreamStage(key string, value []byte) feed.Stage {
	u, err := platform.ParseUpstream(key, 0, value)
	if err != nil || u.Born == 0 {
		return feed.Stage{}
	}
	stage := feed.Stage{Known: true, Writer: u.Born}
	if u.State == site.StateDraining {
		stage.Step = 1
	}
	return stage
}

// applyUpstream applies a changed row of the list of upstreams; s.mu is held.
func (s *stateView) applyUpstream(r feed.Row, source string) {
	old, had := s.upstreams[r.Key]
	if r.Deleted {
		if _, known := s.missing[r.Key]; had && !known {
			until := s.missingUntil()
			s.missing[r.Key] = until
			s.log.Info("edge: upstream removed from the list", zap.String("upstream", r.Key), zap.String("source", source),
				zap.Stringer("row", r.Version), zap.Time("kept until", until))
		}
		return
	}
	u, err := platform.ParseUpstream(r.Key, r.Version, r.Value)
	if err != nil {
		if !s.malformed[r.Key] {
			s.malformed[r.Key] = true
			s.log.Warn("edge: malformed upstream row skipped", zap.String("upstream", r.Key), zap.String("source", source), zap.Error(err))
		}
		if had {
			// The row describes no upstream any more, which is removed without a grace
			// period.
			s.missing[r.Key] = time.Time{}
		}
		return
	}
	delete(s.malformed, r.Key)
	delete(s.missing, r.Key)
	s.upstreams[r.Key] = u
	if !had || old.State != u.State || old.Held != u.Held || old.Born != u.Born || old.Address != u.Address {
		s.log.Info("edge: upstream changed", zap.String("upstream", r.Key), zap.String("service", u.Service), zap.String("address", u.Address),
			zap.Stringer("state", u.State), zap.Stringer("layers", u.Held.Layers), zap.String("source", source), zap.Stringer("row", r.Version))
	}
}

// missingUntil returns until when an upstream is kept whose row is deleted now. The first
// read after an outage, by this instance or another one, shows which rows expired in it,
// before the store counts as reachable again. s.mu is held.
func (s *stateView) missingUntil() time.Time {
	if s.listUnreachable {
		return time.Now().Add(missingUpstreamGrace)
	}
	return s.keepMissingUntil
}

// publish removes the missing upstreams whose grace period is over and passes the list to
// onList; s.mu is held.
func (s *stateView) publish() {
	now := time.Now()
	for key, until := range s.missing {
		if !now.Before(until) {
			delete(s.missing, key)
			delete(s.upstreams, key)
		}
	}
	list := make([]site.Upstream, 0, len(s.upstreams))
	for _, u := range s.upstreams {
		list = append(list, u)
	}
	slices.SortFunc(list, func(x, y site.Upstream) int { return strings.Compare(string(x.ID), string(y.ID)) })
	s.onList(list)
}

// republish passes the list to onList again, after another source of it changed.
func (s *stateView) republish() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.upstreamsKnown {
		s.publish()
	}
}

// dropExpired removes the missing upstreams whose grace period is over.
func (s *stateView) dropExpired(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, until := range s.missing {
		if !now.Before(until) {
			s.publish()
			return
		}
	}
}
