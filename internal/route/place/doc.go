// Package place plans which layer ranges of which model versions each engine
// loads. It aims for the most tokens a second that the speed, memory and links
// of the engines allow, and it orders the changes as a sequence of safe steps.
//
// It imports base/spec and route/domain, does no I/O and uses no random
// numbers. Package core runs a Planner at the end of each tick. The Planner
// emits domain.LoadLayers while this instance has the placement duty.
// docs/notes/placement.md discusses the design.
//
// The rate of a placement is a maximum flow from engines (layer-tokens a
// second) to segments of layers (the layer-tokens needed for one token a
// second), at the highest rate that the network carries. The minimum cut names
// the bottleneck layers and the engines with spare time. Changes are tried
// there, since only they can raise the rate.
package place
