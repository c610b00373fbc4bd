//go:build race

package mesh_test

// sizes are the large fleets that are played, seedsLarge how many of each size: fewer
// under the race detector, which takes some ten times as long.
var (
	sizes      = []int{large}
	seedsLarge = uint64(1)
)
