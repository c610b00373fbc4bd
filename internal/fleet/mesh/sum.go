package mesh

import (
	"maps"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/path"
)

const (
	// sumTime is how long the sum of a cell counts without a new one. It outlasts the
	// silence after which the other head of the cell sends it.
	sumTime = silent + 5*beat
	// sourceAll names what the requests of all other instances take, as a member
	// hears of it.
	sourceAll = spec.InstanceID("all")
	// sourceCell begins the name of what the requests of a cell take.
	sourceCell = "cell:"
)

// sum is what the requests of several instances take, as last told.
type sum struct {
	uses  uses
	paces map[spec.UpstreamID]float64
	at    time.Duration
}

// headcount is how many instances there are somewhere, as last told.
type headcount struct {
	n  int
	at time.Duration
}

// load takes what requests elsewhere take. Each request counts once: a member takes
// the sum of all, a head the sums of other cells and its own members one by one.
func (l *Logic) load(now time.Duration, p *peer, m Message) {
	if m.Head && m.Cell != "" {
		l.counts[m.Cell] = headcount{n: m.Count, at: now}
	}
	if m.Scope == ScopeOwn && l.isCountedAlone(p) {
		p.uses, p.paces = m.Uses, m.Paces
		l.Taker.Used(p.id, m.Uses)
		l.Taker.Paced(p.id, m.Paces)
		return
	}
	l.drop(p)
	switch {
	case l.layout.isFlat():
	case l.isHead() && m.Scope == ScopeCell && m.Cell != l.layout.mine.name:
		l.sum(spec.InstanceID(sourceCell+m.Cell), sum{uses: m.Uses, paces: m.Paces, at: now})
	case !l.isHead() && m.Scope == ScopeAll && m.Cell == l.layout.mine.name:
		l.counts[totalCount] = headcount{n: m.Count, at: now}
		l.sum(sourceAll, sum{uses: m.Uses, paces: m.Paces, at: now})
	}
}

// totalCount names the count of all instances, as a member hears of it.
const totalCount = ""

func (l *Logic) sum(from spec.InstanceID, s sum) {
	l.sums[from] = s
	l.Taker.Used(from, s.uses)
	l.Taker.Paced(from, s.paces)
}

// expire forgets sums that are not told any more, and what no longer fits the part
// that this instance has.
func (l *Logic) expire(now time.Duration) {
	for from, s := range l.sums {
		stale := now-s.at >= sumTime
		if misfit := (from == sourceAll) == l.isHead() || l.layout.isFlat(); stale || misfit {
			delete(l.sums, from)
			l.Taker.Used(from, nil)
			l.Taker.Paced(from, nil)
		}
	}
	for _, p := range l.sorted() {
		if !l.isCountedAlone(p) {
			l.drop(p)
		}
	}
}

// isCountedAlone reports whether the requests of an instance count by its own word,
// not in the sum of several.
func (l *Logic) isCountedAlone(p *peer) bool {
	return l.layout.isFlat() || l.isHead() && l.inCell(p.id)
}

// drop forgets what an instance told of its own requests.
func (l *Logic) drop(p *peer) {
	if p.uses == nil && p.paces == nil {
		return
	}
	p.uses, p.paces = nil, nil
	l.Taker.Used(p.id, nil)
	l.Taker.Paced(p.id, nil)
}

// cellSum is what the requests of the own cell take.
func (l *Logic) cellSum() (uses, map[spec.UpstreamID]float64) {
	out := uses{}
	out.add(l.Self.Uses())
	paces := map[spec.UpstreamID]float64{}
	slower(paces, l.Self.Paces())
	for _, p := range l.sorted() {
		out.add(p.uses)
		slower(paces, p.paces)
	}
	return out, paces
}

// total is what the requests of all instances take.
func (l *Logic) total(cell uses, paces map[spec.UpstreamID]float64) (uses, map[spec.UpstreamID]float64) {
	out := uses{}
	out.add(cell)
	slowest := maps.Clone(paces)
	for _, s := range l.sums {
		out.add(s.uses)
		slower(slowest, s.paces)
	}
	return out, slowest
}

// add adds what other requests take.
func (u uses) add(o uses) {
	for service, engines := range o {
		mine := u[service]
		if mine == nil {
			mine = make(map[spec.UpstreamID]path.Use, len(engines))
			u[service] = mine
		}
		for id, use := range engines {
			mine[id] = mine[id].Plus(use)
		}
	}
}

// without is what is left without the requests of one instance.
func (u uses) without(o uses) uses {
	out := make(uses, len(u))
	for service, engines := range u {
		left := maps.Clone(engines)
		for id, use := range o[service] {
			if left[id] = left[id].Minus(use); left[id].Streams <= 0 {
				delete(left, id)
			}
		}
		out[service] = left
	}
	return out
}

// slower keeps the slower pace of each engine.
func slower(mine, o map[spec.UpstreamID]float64) {
	for id, pace := range o {
		mine[id] = max(mine[id], pace)
	}
}

// instances is how many instances share what is bounded for all, this one among
// them. Those that nothing is known of count.
func (l *Logic) instances(now time.Duration) int {
	if l.layout.isFlat() {
		return l.near(now)
	}
	if !l.isHead() {
		if c, ok := l.counts[totalCount]; ok && now-c.at < counted {
			return c.n
		}
		return 1 + len(l.peers)
	}
	n := l.near(now)
	for _, c := range l.layout.cells {
		switch told, ok := l.counts[c.name]; {
		case c == l.layout.mine:
		case ok && now-told.at < counted:
			n += told.n
		default:
			n += len(c.ranked)
		}
	}
	return n
}

// near is how many instances of the own cell there are; all in a flat fleet.
func (l *Logic) near(now time.Duration) int {
	n := 1
	for _, p := range l.sorted() {
		if p.heard > 0 && now-p.heard < counted && (l.layout.isFlat() || l.inCell(p.id)) {
			n++
		}
	}
	return n
}
