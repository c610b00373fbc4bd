//go:build !race

package edge_test

// normalRequests is how many requests a calm minute has.
const normalRequests = 60 * 20

// changeFleets and listFleets are how many instances follow a change of the
// configuration and of the list.
var (
	configFleetSizes = []int{2, 5, 9, 12, 16}
	listFleetSizes   = []int{4, 14, 16, 20}
)

// probingFleetSize is how many instances see the same engine die.
const probingFleetSize = 118

// faultSeeds is how many orders of trouble are played.
const faultSeeds = 12

// pausedFleetSizes is among how many others an instance is paused.
var pausedFleetSizes = []int{3, 33}

// startedFleetSize is how many instances start at the same moment.
const startedFleetSize = 60
