package bench

import (
	"fmt"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/domain"
)

// Model is the model of all layouts.
const Model = "m"

// Layout is a set of engines with what they hold.
type Layout struct {
	Engines []domain.Engine
	Depth   int
	// Blocks is how many prompt blocks an engine caches.
	Blocks int
}

// accelerator is a kind of accelerator.
type accelerator struct {
	name      string
	layerTime time.Duration
	hopTime   time.Duration
}

const (
	slots      = 16
	kvCapacity = 200_000
	blocks     = 400
	width      = 8192
	fastBps    = 10_000_000_000
	slowBps    = 100_000_000
)

// mixed spreads each kind over even ranges, so that every range has engines of
// unlike speed.
func mixed(depth, ranges, engines int, kinds []accelerator) Layout {
	l := Layout{Depth: depth, Blocks: blocks}
	for i := range engines {
		part := i % ranges
		k := kinds[(i/ranges)%len(kinds)]
		layers := spec.NewLayers(part*depth/ranges, (part+1)*depth/ranges)
		l.Engines = append(l.Engines, describeEngine(i, k, depth, layers))
	}
	return l
}

func describeEngine(i int, k accelerator, depth int, layers spec.Layers) domain.Engine {
	bps := int64(fastBps)
	if k.hopTime > time.Millisecond {
		bps = slowBps
	}
	return domain.Engine{
		ID: spec.UpstreamID(fmt.Sprintf("%s-%03d", k.name, i)), Kind: k.name, DataCentre: "dc",
		LayerTime: k.layerTime, Slots: slots, LayerCapacity: layers.Len(), KVCapacity: kvCapacity, ReportedHopTime: k.hopTime, Bandwidth: bps,
		Loaded: []domain.LoadedRange{{Model: Model, Version: "1", Depth: depth, Layers: layers, Width: width}},
	}
}

// Association is 30 engines of three kinds over three ranges.
func Association() Layout {
	return mixed(24, 3, 30, []accelerator{
		{"fast", time.Millisecond, 500 * time.Microsecond},
		{"mid", 2 * time.Millisecond, time.Millisecond},
		{"slow", 4 * time.Millisecond, 2 * time.Millisecond},
	})
}

// Coast is 30 engines of two kinds over two ranges.
func Coast() Layout {
	return mixed(20, 2, 30, []accelerator{
		{"fast", 2 * time.Millisecond, 500 * time.Microsecond},
		{"slow", 5 * time.Millisecond, 2 * time.Millisecond},
	})
}

// Centre is 60 engines of five kinds over four ranges, on links that differ a
// hundredfold.
func Centre() Layout {
	return mixed(32, 4, 60, []accelerator{
		{"a", time.Millisecond, 100 * time.Microsecond},
		{"b", 1600 * time.Microsecond, 300 * time.Microsecond},
		{"c", 2600 * time.Microsecond, time.Millisecond},
		{"d", 4 * time.Millisecond, 3 * time.Millisecond},
		{"e", 6 * time.Millisecond, 10 * time.Millisecond},
	})
}

// Bound is the most tokens a second that the layout can make: the ranges do
// not overlap, so it is that of the weakest range.
func (l *Layout) Bound() float64 {
	sum := map[int]float64{}
	for _, e := range l.Engines {
		layers := e.Loaded[0].Layers
		sum[layers.From()] += float64(e.Slots) / (float64(layers.Len()) * e.LayerTime.Seconds())
	}
	least := -1.0
	for _, e := range l.Engines {
		v := sum[e.Loaded[0].Layers.From()]
		if least < 0 || v < least {
			least = v
		}
	}
	return least
}
