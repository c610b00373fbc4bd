package bench

import (
	"fmt"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/domain"
)

// Model is the name of the model that all layouts serve.
const Model = "m"

// Layout is a set of engines with the layers that each has loaded.
type Layout struct {
	Engines []domain.Engine
	Depth   int
	// Blocks is the capacity of an engine's prefix cache in prompt blocks.
	Blocks int
}

// accelerator describes a kind of accelerator: the time that one layer takes
// and the time of a hop to its engines.
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

// mixed splits the model into ranges of about equal length and assigns engines
// of each kind to all of them, so that every range has engines of different
// speeds.
func mixed(depth, ranges, engines int, accelerators []accelerator) Layout {
	l := Layout{Depth: depth, Blocks: blocks}
	for i := range engines {
		part := i % ranges
		accel := accelerators[(i/ranges)%len(accelerators)]
		layers := spec.NewLayers(part*depth/ranges, (part+1)*depth/ranges)
		l.Engines = append(l.Engines, describeEngine(i, accel, depth, layers))
	}
	return l
}

// describeEngine returns the i-th engine of a layout. Engines with hops above a
// millisecond have the slow link.
func describeEngine(i int, accel accelerator, depth int, layers spec.Layers) domain.Engine {
	bps := int64(fastBps)
	if accel.hopTime > time.Millisecond {
		bps = slowBps
	}
	return domain.Engine{
		ID: spec.UpstreamID(fmt.Sprintf("%s-%03d", accel.name, i)), Kind: accel.name, DataCentre: "dc",
		LayerTime: accel.layerTime, Slots: slots, LayerCapacity: layers.Len(), KVCapacity: kvCapacity, ReportedHopTime: accel.hopTime, Bandwidth: bps,
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

// Centre is 60 engines of five kinds over four ranges, on links whose bandwidth
// differs by a factor of 100.
func Centre() Layout {
	return mixed(32, 4, 60, []accelerator{
		{"a", time.Millisecond, 100 * time.Microsecond},
		{"b", 1600 * time.Microsecond, 300 * time.Microsecond},
		{"c", 2600 * time.Microsecond, time.Millisecond},
		{"d", 4 * time.Millisecond, 3 * time.Millisecond},
		{"e", 6 * time.Millisecond, 10 * time.Millisecond},
	})
}

// Bound returns the maximum number of tokens per second that the layout can
// generate. The ranges do not overlap, so the slowest range limits it.
func (l *Layout) Bound() float64 {
	sum := map[int]float64{}
	for _, e := range l.Engines {
		layers := e.Loaded[0].Layers
		sum[layers.From()] += float64(e.Slots) / (float64(layers.Len()) * e.LayerTime.Seconds())
	}
	minimum := -1.0
	for _, e := range l.Engines {
		v := sum[e.Loaded[0].Layers.From()]
		if minimum < 0 || v < minimum {
			minimum = v
		}
	}
	return minimum
}
