// Package place plans which layer ranges of which model versions each engine
// holds, near the most tokens a second that the engines' speed, memory and
// links allow, and orders the changes one safe step after another.
//
// It imports base/spec and route/domain, does no I/O and draws no random
// numbers. Package core runs a Planner at the end of each tick; it emits
// domain.LoadLayers while this instance has the duty. docs/notes/placement.md weighs
// the design.
//
// The rate of a placement is a maximum flow from engines (layer-tokens a
// second) to stretches of layers (what they need for one token a second),
// made as large as it gets. Its minimum cut names the layers that hold it
// back and the engines that have time to spare, which is where a change helps.
package place
