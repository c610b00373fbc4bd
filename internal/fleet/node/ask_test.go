package node_test

import (
	"cmp"
	"slices"
	"time"

	"fulmarwick/internal/base/news"
	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/fleet/node"
)

// settle runs until all are ready and know all.
func (f *fleet) settle() {
	f.t.Helper()
	f.until(30*time.Second, "settled fleet", func() bool {
		return !slices.ContainsFunc(f.nodes, func(x *inst) bool {
			return x.up && (x.ready == 0 || len(x.members) != f.alive()-1)
		})
	})
	f.run(2 * time.Second)
	for _, x := range f.nodes {
		x.expires, x.bytes, x.msgs = 0, 0, 0
	}
}

func (f *fleet) alive() int {
	n := 0
	for _, x := range f.nodes {
		if x.up {
			n++
		}
	}
	return n
}

func (f *fleet) say(x *inst, kind news.Kind, key string, scope news.Scope, body any) string {
	f.t.Helper()
	item, err := news.Make(kind, key, scope, 60_000, body)
	if err != nil {
		f.t.Fatal(err)
	}
	x.events = append(x.events, node.Say{Item: item})
	return label(item)
}

// reach tells how long the item took to each of those that ok accepts.
func (f *fleet) reach(from *inst, item string, ok func(*inst) bool) []time.Duration {
	f.t.Helper()
	begin := f.now
	lacks := func(x *inst) bool { return x.up && x != from && ok(x) && x.got[item] == 0 }
	f.until(20*time.Second, "item "+item+" at all", func() bool { return !slices.ContainsFunc(f.nodes, lacks) })
	var took []time.Duration
	for _, x := range f.nodes {
		if x.up && x != from && ok(x) {
			took = append(took, x.got[item]-begin)
		}
	}
	slices.SortFunc(took, cmp.Compare[time.Duration])
	return took
}

func everyone(*inst) bool { return true }

func of(dc spec.DataCentre) func(*inst) bool {
	return func(x *inst) bool { return x.self.DataCentre == dc }
}

// expires counts how often instances took others for gone.
func (f *fleet) expires() int {
	n := 0
	for _, x := range f.nodes {
		n += x.expires
	}
	return n
}

// suspicions counts how often instances began to suspect another.
func (f *fleet) suspicions() uint64 {
	n := uint64(0)
	for _, x := range f.nodes {
		n += x.logic.Stats().Suspected
	}
	return n
}
