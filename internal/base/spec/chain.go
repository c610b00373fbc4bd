package spec

import (
	"fmt"
	"strings"
)

// Stage is one step of a chain: an engine and the layers that it runs.
type Stage struct {
	engine UpstreamID
	layers Layers
}

// NewStage returns the stage that runs layers on engine.
func NewStage(engine UpstreamID, layers Layers) Stage {
	return Stage{engine: engine, layers: layers}
}

// Engine returns the engine that runs the stage.
func (s Stage) Engine() UpstreamID { return s.engine }

// Layers returns the range of layers that the stage runs.
func (s Stage) Layers() Layers { return s.layers }

// Chain is the ordered list of stages that together run all layers of a model for each token.
type Chain []Stage

// Check returns an error unless the stages cover the layers [0, depth) in order, without gap
// or overlap. Only then each layer runs exactly once per token.
func (c Chain) Check(depth int) error {
	next := 0
	for i, s := range c {
		if s.layers.from != next || s.layers.Len() == 0 {
			return fmt.Errorf("spec: stage %d runs layers %s, want a range from %d", i, s.layers, next)
		}
		next = s.layers.to
	}
	if next != depth {
		return fmt.Errorf("spec: chain ends at layer %d, want %d", next, depth)
	}
	return nil
}

// String formats the chain as "engine:from-to" entries separated by commas.
func (c Chain) String() string {
	parts := make([]string, 0, len(c))
	for _, s := range c {
		parts = append(parts, string(s.engine)+":"+s.layers.String())
	}
	return strings.Join(parts, ",")
}

// Uses reports whether a stage of the chain runs on engine.
func (c Chain) Uses(engine UpstreamID) bool {
	for _, s := range c {
		if s.engine == engine {
			return true
		}
	}
	return false
}
