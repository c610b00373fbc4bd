package poison

import "fulmarwick/internal/route/world"

// Run clears the suspects that got past the point where they were.
func (b *Book) Run(w *world.World) {
	now := w.Now()
	for _, t := range append([]*trial(nil), b.trials...) {
		switch {
		case t.r.Gone() && !t.r.Done():
			b.end(t.r)
		case t.r.Gone() || t.r.Tokens() > t.r.From() || now >= t.until:
			b.end(t.r)
			b.clear(w, t.r.Arrived().Print)
		}
	}
	b.expire(now)
}

func (b *Book) clear(w *world.World, print uint64) {
	if s := b.prints[print]; s != nil && s.crashes < guilty {
		b.forget(print)
		w.Emit(world.Warn{Print: print})
	}
}

func (b *Book) end(r *world.Request) {
	keep := b.trials[:0]
	for _, t := range b.trials {
		if t.r != r {
			keep = append(keep, t)
			continue
		}
		for _, e := range t.engines {
			if b.solo[e] == r {
				delete(b.solo, e)
			}
		}
	}
	b.trials = keep
	if s := b.prints[r.Arrived().Print]; s != nil && s.runs == r {
		s.runs = nil
	}
}
