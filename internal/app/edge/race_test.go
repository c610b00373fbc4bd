//go:build race

package edge_test

// Tests are smaller under the race detector, which takes some ten times as long.

// normalRequests is how many requests a calm minute has.
const normalRequests = 240

// configFleetSizes and listFleetSizes are how many instances follow a change of the
// configuration and of the list.
var (
	configFleetSizes = []int{2, 5}
	listFleetSizes   = []int{4}
)

// probingFleetSize is how many instances see the same engine die.
const probingFleetSize = 8

// faultSeeds is how many orders of trouble are played.
const faultSeeds = 3

// pausedFleetSizes is among how many others an instance is paused.
var pausedFleetSizes = []int{3}

// startedFleetSize is how many instances start at the same moment.
const startedFleetSize = 4
