//go:build race

package mesh_test

// sizes are the sizes of the large fleets to simulate, seedsLarge how many fleets of
// each size: fewer under the race detector, which takes about ten times as long.
var (
	sizes      = []int{large}
	seedsLarge = uint64(1)
)
