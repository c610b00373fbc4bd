//go:build race

package edge_test

// Tests are smaller under the race detector, which makes them about ten times slower.

// normalRequests is how many requests TestNormalTrafficWithoutFaults sends.
const normalRequests = 240

var (
	// configFleetSizes lists how many instances follow a configuration change.
	configFleetSizes = []int{2, 5}
	// listFleetSizes lists how many instances follow a change of the upstream list.
	listFleetSizes = []int{4}
)

// probingFleetSize is how many instances detect the death of the same engine.
const probingFleetSize = 8

// pauseSeeds is how many random sequences of pauses of engines are tested.
const pauseSeeds = 1

// faultSeeds is how many random sequences of faults are tested.
const faultSeeds = 3

// pausedFleetSizes lists how many peers a paused instance has.
var pausedFleetSizes = []int{3}

// startedFleetSize is how many instances start at the same time.
const startedFleetSize = 4

// drawnClearCases is how many cases of crashing requests with trouble beside them are drawn.
const drawnClearCases = 6

// testedCrashClasses lists the classes of requests that crash upstreams.
var testedCrashClasses = []string{"safe"}

// restoreFleetSizes lists how many instances follow a store that comes back from a copy.
var restoreFleetSizes = []int{1, 4}
