//go:build !race

package edge_test

// normalRequests is how many requests TestNormalTrafficWithoutFaults sends.
const normalRequests = 60 * 20

var (
	// configFleetSizes lists how many instances follow a configuration change.
	configFleetSizes = []int{2, 5, 9, 12, 16}
	// listFleetSizes lists how many instances follow a change of the upstream list.
	listFleetSizes = []int{4, 14, 16, 20}
)

// probingFleetSize is how many instances detect the death of the same engine.
const probingFleetSize = 118

// pauseSeeds is how many random sequences of pauses of engines are tested.
const pauseSeeds = 6

// faultSeeds is how many random sequences of faults are tested.
const faultSeeds = 12

// pausedFleetSizes lists how many peers a paused instance has.
var pausedFleetSizes = []int{3, 33}

// startedFleetSize is how many instances start at the same time.
const startedFleetSize = 60

// drawnClearCases is how many cases of crashing requests with trouble beside them are drawn.
const drawnClearCases = 60

// testedCrashClasses lists the classes of requests that crash upstreams.
var testedCrashClasses = []string{"safe", "keyed", "unsafe", "stream"}

// restoreFleetSizes lists how many instances follow a store that comes back from a copy.
var restoreFleetSizes = []int{1, 4, 16, 33}
