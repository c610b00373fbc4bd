package node

import (
	"slices"
	"strings"
	"time"

	"fulmarwick/internal/base/news"
	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/fleet/rank"
	"fulmarwick/internal/fleet/talk"
)

const (
	// gateways is how many instances of a data centre speak with the others;
	// two, so that losing one cuts nothing off.
	gateways = 2
	// remoteEvery is the time between two exchanges of a gateway with one
	// other data centre. Urgent items are pushed and do not wait for it.
	remoteEvery = 3 * time.Second
	// avoidFor is how long a partner that did not answer is passed over.
	avoidFor = 10 * time.Second
	// cutAfter is the silence after which a data centre counts as cut off.
	cutAfter = 8 * time.Second
	// reachEvery is the time between two looks at which data centres are cut.
	reachEvery = 500 * time.Millisecond
	// reachLife is the life of a gateway's word on a data centre.
	reachLife = 15 * time.Second
)

// remotes are the other data centres, in order of name.
type remotes struct {
	rows    []*remote
	version uint64
	listed  int
	gates   []spec.InstanceID
	isGate  bool
	rank    int
	reach   time.Duration
	avoid   map[spec.InstanceID]time.Duration
}

type remote struct {
	centre  spec.DataCentre
	partner spec.InstanceID
	next    time.Duration
	heard   time.Duration
	told    time.Duration
	// cut is what this gateway found, unreachable what all gateways say.
	cut         bool
	unreachable bool
}

// speaker reports whether this instance is the first gateway, which alone
// says the sums of its data centre.
func (l *Logic) speaker() bool { return l.remotes.isGate && l.remotes.rank == 0 }

// tickRemotes makes a gateway's exchanges with other data centres.
func (l *Logic) tickRemotes() {
	r := &l.remotes
	if r.version != l.members.Version() || r.listed != len(l.listed.peers) {
		r.version, r.listed = l.members.Version(), len(l.listed.peers)
		l.setRemotes()
	}
	if !r.isGate {
		return
	}
	for _, c := range r.rows {
		if l.now >= c.next {
			c.next = l.now + l.jitter(remoteEvery)
			l.meetCentre(c)
		}
		l.judge(c)
	}
}

// setRemotes finds the other data centres and whether this is a gateway.
func (l *Logic) setRemotes() {
	r := &l.remotes
	r.gates = rank.Top(gateKey(l.Self.DataCentre), l.active(l.Self.DataCentre), gateways)
	r.rank = slices.Index(r.gates, l.Self.ID)
	was := r.isGate
	r.isGate = r.rank >= 0
	l.members.Each(func(rec talk.Record) { l.addRemote(rec.DataCentre) })
	for _, p := range l.listed.peers {
		l.addRemote(p.DataCentre)
	}
	if r.isGate && !was {
		for _, c := range r.rows {
			c.heard = l.now
		}
	}
}

func gateKey(c spec.DataCentre) string { return "gate/" + string(c) }

func (l *Logic) addRemote(centre spec.DataCentre) {
	if centre == l.Self.DataCentre || centre == "" {
		return
	}
	rows := l.remotes.rows
	at, found := slices.BinarySearchFunc(rows, centre, func(r *remote, c spec.DataCentre) int {
		return strings.Compare(string(r.centre), string(c))
	})
	if !found {
		row := &remote{centre: centre, heard: l.now, next: l.now + time.Duration(l.Rand.Int64N(int64(remoteEvery/4)))}
		l.remotes.rows = slices.Insert(rows, at, row)
	}
}

// meetCentre makes an exchange with a gateway of another data centre, or with
// whoever answers there.
func (l *Logic) meetCentre(c *remote) {
	ids := l.active(c.centre)
	if len(ids) == 0 {
		ids = l.listed.of(c.centre)
	}
	ids = slices.DeleteFunc(ids, func(id spec.InstanceID) bool { return l.now < l.remotes.avoid[id] })
	if len(ids) == 0 {
		clear(l.remotes.avoid)
		return
	}
	top := rank.Top(gateKey(c.centre), ids, gateways)
	c.partner = top[l.remotes.rank%len(top)]
	l.exchange(c.partner, purposeSeek)
}

func (s *listed) of(centre spec.DataCentre) []spec.InstanceID {
	var out []spec.InstanceID
	for _, p := range s.peers {
		if p.DataCentre == centre {
			out = append(out, p.ID)
		}
	}
	return out
}

// partners are the instances that a gateway pushes to.
func (r *remotes) partners() []spec.InstanceID {
	if !r.isGate {
		return nil
	}
	var out []spec.InstanceID
	for _, c := range r.rows {
		if c.partner != "" && !c.cut {
			out = append(out, c.partner)
		}
	}
	return out
}

// missed passes over an instance that did not answer.
func (r *remotes) missed(id spec.InstanceID, now time.Duration) {
	if r.avoid == nil {
		r.avoid = map[spec.InstanceID]time.Duration{}
	}
	r.avoid[id] = now + avoidFor
}

// heardFrom notes a word of another data centre.
func (r *remotes) heardFrom(centre spec.DataCentre, now time.Duration) {
	for _, c := range r.rows {
		if c.centre == centre {
			c.heard = now
		}
	}
}

// judge tells the own data centre whether the other one can be reached.
func (l *Logic) judge(c *remote) {
	cut := l.now-c.heard >= cutAfter
	if cut == c.cut && (!cut || l.now-c.told < reachLife/3) {
		return
	}
	c.cut = cut
	c.told = l.now
	item, err := news.Make(news.KindReach, string(c.centre), news.ScopeCentre, reachLife.Milliseconds(), news.Reach{Cut: cut})
	if err != nil {
		return
	}
	_, _ = l.items.Say(l.now, item)
}

// reachable reports whether a data centre can be reached: one gateway that
// reaches it is enough.
func (l *Logic) reachable(centre spec.DataCentre) bool {
	if centre == l.Self.DataCentre {
		return true
	}
	for _, id := range l.remotes.gates {
		item, ok := l.items.Get(news.KindReach, id, string(centre))
		var word news.Reach
		if !ok || news.Decode(item, &word) != nil || !word.Cut {
			return true
		}
	}
	return false
}

// tickReach follows which data centres can be reached.
func (l *Logic) tickReach() {
	if l.now < l.remotes.reach {
		return
	}
	l.remotes.reach = l.now + reachEvery
	for _, c := range l.remotes.rows {
		if out := !l.reachable(c.centre); out != c.unreachable {
			c.unreachable = out
			l.watch.dirty = true
		}
	}
}
