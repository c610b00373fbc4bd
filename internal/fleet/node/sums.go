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

func (l *Logic) sayLoads(name string, in func(spec.UpstreamID) bool) {
	body := news.Loads{Sums: l.share.sums.Loads(in)}
	item, err := news.Make(news.KindLoads, name, news.ScopeCentre, loadsLife.Milliseconds(), body)
	if err != nil {
		return
	}
	if item, fresh := l.items.Say(l.now, item); fresh {
		l.takeLoads(item)
	}
}

// room keeps the latest sum of a model until sums are said again. They change
// all the time, and 360 instances hear each one.
func (s *shares) room(item news.Item) {
	at := slices.IndexFunc(s.rooms, func(r news.Item) bool { return r.Key == item.Key })
	switch {
	case at >= 0:
		s.rooms[at] = item
	case len(s.rooms) < maxRooms:
		s.rooms = append(s.rooms, item)
	}
}

// sayRooms says the sums. In a small fleet each instance tells its part of the
// room; in a larger one a voice per data centre has to do for the others.
func (l *Logic) sayRooms() {
	if l.speaker() || l.members.Len() <= smallFleet {
		for _, item := range l.share.rooms {
			_, _ = l.items.Say(l.now, item)
		}
	}
	l.share.rooms = nil
}

func (l *Logic) sayRates() {
	body := news.Rates{Sums: l.share.sums.Rates()}
	item, err := news.Make(news.KindRates, string(l.Self.DataCentre), news.ScopeFleet, ratesLife.Milliseconds(), body)
	if err != nil {
		return
	}
	if item, fresh := l.items.Say(l.now, item); fresh {
		l.takeRates(item)
	}
}

func (l *Logic) takeRates(item news.Item) {
	var body news.Rates
	if news.Decode(item, &body) == nil {
		l.share.view.TakeRates(l.now, item.Key, time.Duration(item.Life)*time.Millisecond, body.Sums)
	}
}

// takeLoads passes on what others have in flight: the sum less what was told
// of here.
func (l *Logic) takeLoads(item news.Item) {
	var body news.Loads
	if news.Decode(item, &body) != nil {
		return
	}
	s := &l.share
	if s.groups == nil {
		s.groups = map[string][]spec.UpstreamID{}
		s.out = map[spec.UpstreamID]EngineLoad{}
	}
	before := s.groups[item.Key]
	engines := make([]spec.UpstreamID, 0, len(body.Sums))
	for _, sum := range body.Sums {
		e := spec.UpstreamID(sum.Engine)
		engines = append(engines, e)
		told := s.told[e]
		l.engineLoad(EngineLoad{Engine: e, Active: max(0, sum.Active-told.Active), Tokens: max(0, sum.Tokens-told.Tokens)})
	}
	for _, e := range before {
		if !slices.Contains(engines, e) {
			l.engineLoad(EngineLoad{Engine: e})
		}
	}
	s.keepGroup(item.Key, engines)
}

// keepGroup notes a group's engines and forgets groups of another number of
// groups, which nobody adds up any more.
func (s *shares) keepGroup(name string, engines []spec.UpstreamID) {
	_, count, _ := strings.Cut(name, "/")
	for other := range s.groups {
		if !strings.HasSuffix(other, "/"+count) {
			delete(s.groups, other)
		}
	}
	s.groups[name] = engines
}

func (l *Logic) engineLoad(e EngineLoad) {
	if l.share.out[e.Engine] == e {
		return
	}
	if e.Active == 0 && e.Tokens == 0 {
		delete(l.share.out, e.Engine)
	} else {
		l.share.out[e.Engine] = e
	}
	l.emit(e)
}

// group names the engines whose loads one instance adds up.
func group(e spec.UpstreamID, groups int) string {
	return fmt.Sprintf("%d/%d", xxhash.Sum64String(string(e))%uint64(groups), groups)
}
