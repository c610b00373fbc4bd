package node

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"fulmarwick/internal/base/news"
	"fulmarwick/internal/base/spec"

	"github.com/cespare/xxhash/v2"
)

func (l *Logic) publishLoads(name string, in func(spec.UpstreamID) bool) {
	body := news.Loads{Sums: l.shares.aggregator.Loads(in)}
	item, err := news.New(news.KindLoads, name, news.ScopeCentre, loadsTTL.Milliseconds(), body)
	if err != nil {
		return
	}
	if item, isNew := l.items.Publish(l.now, item); isNew {
		l.handleLoads(item)
	}
}

// setMemorySum keeps the latest sum of a model until the sums are published
// again. They change all the time, and up to 360 instances receive each one.
func (s *shares) setMemorySum(item news.Item) {
	at := slices.IndexFunc(s.memorySums, func(r news.Item) bool { return r.Key == item.Key })
	switch {
	case at >= 0:
		s.memorySums[at] = item
	case len(s.memorySums) < maxMemorySums:
		s.memorySums = append(s.memorySums, item)
	}
}

// publishMemorySums publishes the sums. In a small fleet each instance
// publishes its part of the free KV memory; in a larger one only one instance
// per data centre does.
func (l *Logic) publishMemorySums() {
	if l.isFirstGateway() || l.members.Len() <= maxSmallFleet {
		for _, item := range l.shares.memorySums {
			_, _ = l.items.Publish(l.now, item)
		}
	}
	l.shares.memorySums = nil
}

func (l *Logic) publishRates() {
	body := news.Rates{Sums: l.shares.aggregator.Rates()}
	item, err := news.New(news.KindRates, string(l.Local.DataCentre), news.ScopeFleet, ratesTTL.Milliseconds(), body)
	if err != nil {
		return
	}
	if item, isNew := l.items.Publish(l.now, item); isNew {
		l.handleRates(item)
	}
}

func (l *Logic) handleRates(item news.Item) {
	var body news.Rates
	if news.Decode(item, &body) == nil {
		l.shares.fleet.SetCentreRates(l.now, item.Key, time.Duration(item.TTL)*time.Millisecond, body.Sums)
	}
}

// handleLoads reports to the driver what other instances have in flight: the
// sum without what this instance reported.
func (l *Logic) handleLoads(item news.Item) {
	var body news.Loads
	if news.Decode(item, &body) != nil {
		return
	}
	s := &l.shares
	if s.groups == nil {
		s.groups = map[string][]spec.UpstreamID{}
		s.peerLoads = map[spec.UpstreamID]PeerEngineLoad{}
	}
	before := s.groups[item.Key]
	engines := make([]spec.UpstreamID, 0, len(body.Sums))
	for _, sum := range body.Sums {
		e := spec.UpstreamID(sum.Engine)
		engines = append(engines, e)
		reported := s.reportedLoads[e]
		l.emitPeerLoad(PeerEngineLoad{Engine: e, Active: max(0, sum.Active-reported.Active), Tokens: max(0, sum.Tokens-reported.Tokens)})
	}
	for _, e := range before {
		if !slices.Contains(engines, e) {
			l.emitPeerLoad(PeerEngineLoad{Engine: e})
		}
	}
	s.keepGroup(item.Key, engines)
}

// keepGroup records the engines of a group and drops groups from another group
// count, which nobody aggregates any more.
func (s *shares) keepGroup(name string, engines []spec.UpstreamID) {
	_, count, _ := strings.Cut(name, "/")
	for other := range s.groups {
		if !strings.HasSuffix(other, "/"+count) {
			delete(s.groups, other)
		}
	}
	s.groups[name] = engines
}

func (l *Logic) emitPeerLoad(e PeerEngineLoad) {
	if l.shares.peerLoads[e.Engine] == e {
		return
	}
	if e.Active == 0 && e.Tokens == 0 {
		delete(l.shares.peerLoads, e.Engine)
	} else {
		l.shares.peerLoads[e.Engine] = e
	}
	l.emit(e)
}

// loadGroup returns the name of the group of an engine. One instance
// aggregates the loads of a group.
func loadGroup(e spec.UpstreamID, groups int) string {
	return fmt.Sprintf("%d/%d", xxhash.Sum64String(string(e))%uint64(groups), groups)
}
