package mesh

import (
	"maps"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/again"
	"fulmarwick/internal/route/path"
)

const (
	// sumTime is how long the sum of a cell counts without a new one. It outlasts the
	// silence after which the other head of the cell sends it.
	sumTime = silent + sumPause + beat
	// nearRate and farRate are the bytes a second that sums for one instance may take,
	// in the own data centre and in another one: sums of many engines are told less
	// often, but after sumPause at the latest, well within the time for which they count.
	nearRate = 22 << 10
	farRate  = 6 << 10
	sumPause = 8 * beat
	// sourceAll names what the requests of all other instances take, as a member
	// hears of it.
	sourceAll = spec.InstanceID("all")
	// sourceCell begins the name of what the requests of a cell take.
	sourceCell = "cell:"
)

// load is what requests take and do, as told by one instance or by several.
type load struct {
	uses    uses
	paces   map[spec.UpstreamID]float64
	repeats map[string]again.Count
}

// uses is what requests take, by service and engine.
type uses map[string]map[spec.UpstreamID]path.Use

// sum is the load of several instances, as last told.
type sum struct {
	load
	at time.Duration
}

// headcount is how many instances there are somewhere, as last told.
type headcount struct {
	n  int
	at time.Duration
}

// takeLoad takes what requests elsewhere take. Each request counts once: a member
// takes the sum of all, a head the sums of other cells and its own members one by one.
func (l *Logic) takeLoad(now time.Duration, p *peer, m Message) {
	if m.Head && m.Cell != "" {
		l.counts[m.Cell] = headcount{n: m.Count, at: now}
	}
	if m.Scope == ScopeNone {
		return
	}
	told := load{uses: m.Uses, paces: m.Paces, repeats: m.Repeats}
	if m.Scope == ScopeOwn && l.isCountedAlone(p) {
		p.load = &told
		l.report(p.id, told)
		return
	}
	l.drop(p)
	l.takeSums(now, m, told)
}

// takeSums takes the sum of a cell, or of all.
func (l *Logic) takeSums(now time.Duration, m Message, told load) {
	switch {
	case l.layout.isFlat():
	case l.isHead() && m.Scope == ScopeCell && m.Cell != l.layout.mine.name:
		l.takeSum(now, spec.InstanceID(sourceCell+m.Cell), told)
	case !l.isHead() && m.Scope == ScopeAll && m.Cell == l.layout.mine.name:
		l.counts[totalCount] = headcount{n: m.Count, at: now}
		l.takeSum(now, sourceAll, told)
	}
}

func (l *Logic) takeSum(now time.Duration, from spec.InstanceID, told load) {
	l.sums[from] = sum{load: told, at: now}
	l.report(from, told)
}

// report tells of the load of one instance or of several.
func (l *Logic) report(from spec.InstanceID, told load) {
	l.Taker.Used(from, told.uses)
	l.Taker.Paced(from, told.paces)
	l.Taker.Repeated(from, told.repeats)
}

// totalCount names the count of all instances, as a member hears of it.
const totalCount = ""

// expire forgets sums that are not told any more, and what no longer fits the part
// that this instance has.
func (l *Logic) expire(now time.Duration) {
	for from, s := range l.sums {
		stale := now-s.at >= sumTime
		if misfit := (from == sourceAll) == l.isHead() || l.layout.isFlat(); stale || misfit {
			delete(l.sums, from)
			l.report(from, load{})
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
	if p.load != nil {
		p.load = nil
		l.report(p.id, load{})
	}
}

// own is the load of this instance.
func (l *Logic) own() load {
	return load{uses: l.Self.Uses(), paces: l.Self.Paces(), repeats: l.Self.Repeats()}
}

// cellSum is the load of the own cell.
func (l *Logic) cellSum(own load) load {
	out := newLoad()
	out.add(own)
	for _, p := range l.sorted() {
		if p.load != nil {
			out.add(*p.load)
		}
	}
	return out
}

// total is the load of all instances.
func (l *Logic) total(cell load) load {
	out := newLoad()
	out.add(cell)
	for _, s := range l.sums {
		out.add(s.load)
	}
	return out
}

// summed notes that an instance was told a sum of some bytes.
func (l *Logic) summed(now time.Duration, p *peer, bytes int) {
	rate := farRate
	if p.centre == l.DataCentre {
		rate = nearRate
	}
	pause := min(sumPause, time.Duration(bytes)*time.Second/time.Duration(rate))
	p.sumDue = max(p.sumDue, now-beat) + pause
}

func newLoad() load {
	return load{uses: uses{}, paces: map[spec.UpstreamID]float64{}, repeats: map[string]again.Count{}}
}

// add adds what other instances told.
func (d load) add(o load) {
	d.uses.add(o.uses)
	for id, pace := range o.paces {
		d.paces[id] = max(d.paces[id], pace)
	}
	for service, c := range o.repeats {
		d.repeats[service] = d.repeats[service].Plus(c)
	}
}

// without is what is left without one instance. The slowest pace of an engine stays.
func (d load) without(o *load) load {
	if o == nil {
		return d
	}
	out := load{uses: d.uses.without(o.uses), paces: d.paces, repeats: maps.Clone(d.repeats)}
	for service, c := range o.repeats {
		out.repeats[service] = out.repeats[service].Minus(c)
	}
	return out
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
