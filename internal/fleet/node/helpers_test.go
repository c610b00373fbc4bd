package node_test

import (
	"cmp"
	"slices"
	"time"

	"fulmarwick/internal/base/news"
	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/fleet/node"
)

// settle runs until all instances are ready and know each other.
func (f *fleet) settle() {
	f.t.Helper()
	f.runUntil(30*time.Second, "settled fleet", func() bool {
		return !slices.ContainsFunc(f.instances, func(x *instance) bool {
			return x.up && (x.readyAt == 0 || len(x.members) != f.aliveCount()-1)
		})
	})
	f.run(2 * time.Second)
	for _, x := range f.instances {
		x.expiryCount, x.bytesSent, x.messagesSent = 0, 0, 0
	}
}

func (f *fleet) aliveCount() int {
	n := 0
	for _, x := range f.instances {
		if x.up {
			n++
		}
	}
	return n
}

func (f *fleet) publish(x *instance, kind news.Kind, key string, scope news.Scope, body any) string {
	f.t.Helper()
	item, err := news.New(kind, key, scope, 60_000, body)
	if err != nil {
		f.t.Fatal(err)
	}
	x.events = append(x.events, node.Publish{Item: item})
	return itemLabel(item)
}

// propagationTimes returns how long the item took to reach each instance that
// ok accepts.
func (f *fleet) propagationTimes(from *instance, item string, ok func(*instance) bool) []time.Duration {
	f.t.Helper()
	begin := f.now
	lacks := func(x *instance) bool { return x.up && x != from && ok(x) && x.receivedAt[item] == 0 }
	f.runUntil(20*time.Second, "item "+item+" at all", func() bool { return !slices.ContainsFunc(f.instances, lacks) })
	var took []time.Duration
	for _, x := range f.instances {
		if x.up && x != from && ok(x) {
			took = append(took, x.receivedAt[item]-begin)
		}
	}
	slices.SortFunc(took, cmp.Compare[time.Duration])
	return took
}

func anyInstance(*instance) bool { return true }

func inCentre(dc spec.DataCentre) func(*instance) bool {
	return func(x *instance) bool { return x.self.DataCentre == dc }
}

// expiryCount counts how often instances declared another one gone.
func (f *fleet) expiryCount() int {
	n := 0
	for _, x := range f.instances {
		n += x.expiryCount
	}
	return n
}

// suspicions counts how often instances started to suspect another one.
func (f *fleet) suspicions() uint64 {
	n := uint64(0)
	for _, x := range f.instances {
		n += x.logic.Stats().Suspected
	}
	return n
}
