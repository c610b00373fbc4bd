//go:build !race

package mesh_test

// sizes are the large fleets that are played, seedsLarge how many of each size.
var (
	sizes      = []int{large, designFleet}
	seedsLarge = uint64(3)
)
