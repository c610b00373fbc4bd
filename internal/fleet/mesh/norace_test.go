//go:build !race

package mesh_test

// sizes are the sizes of the large fleets to simulate, seedsLarge how many fleets of
// each size.
var (
	sizes      = []int{large, designFleet}
	seedsLarge = uint64(3)
)
