package crash

import (
	"slices"
	"time"
)

const (
	// endDetectionTime is how long it may take to find out that a process has ended: its row in
	// the list of upstreams expires after a few missed heartbeats.
	endDetectionTime = 6 * time.Second
	// maxOpenRuns is the maximum number of open runs in memory for a process. One that crashes
	// breaks off all of its runs at once.
	maxOpenRuns = 1024
)

// OpenRun is a run for which nobody waits any more and that got no answer: its answer was lost, its
// caller left, or another attempt was faster. The upstream may go on with it.
type OpenRun struct {
	// Crash is what the end of the process means for the request.
	Crash Event
	// First is the process that drives the run, its own or another one on its path: the run ends
	// with that one.
	First Process
	// LeftAt is when this instance stopped waiting, Deadline when the upstream stops to work on
	// the request.
	LeftAt, Deadline time.Duration
}

// OpenRuns records the open runs of each upstream process until it ends, or until it is known to
// have lived longer than they. It is not safe for concurrent use.
type OpenRuns struct {
	byProcess map[Process][]OpenRun
	// ended holds the processes that ended of late.
	ended   map[Process]time.Duration
	sweptAt time.Duration
}

// Add records an open run. It returns false if the process has ended, so that the run did with it.
func (o *OpenRuns) Add(now time.Duration, run OpenRun) bool {
	o.sweep(now)
	p := run.Crash.Process()
	if o.hasEnded(p) {
		return false
	}
	if o.hasEnded(run.First) {
		return true
	}
	if o.byProcess == nil {
		o.byProcess = map[Process][]OpenRun{}
	}
	o.byProcess[p] = append(o.byProcess[p], run)
	o.byProcess[p] = o.byProcess[p][max(0, len(o.byProcess[p])-maxOpenRuns):]
	return true
}

// Has reports whether runs of a process are open.
func (o *OpenRuns) Has(p Process) bool { return len(o.byProcess[p]) > 0 }

func (o *OpenRuns) hasEnded(p Process) bool {
	_, ended := o.ended[p]
	return ended
}

// End records that a process has ended, and returns its open runs.
func (o *OpenRuns) End(now time.Duration, p Process) []OpenRun {
	o.sweep(now)
	runs := o.byProcess[p]
	delete(o.byProcess, p)
	for other := range o.byProcess {
		o.drop(other, func(run OpenRun) bool { return run.First == p })
	}
	if o.ended == nil {
		o.ended = map[Process]time.Duration{}
	}
	o.ended[p] = now
	return runs
}

// SetAlive records that a process answered: the runs whose deadlines have passed are over.
func (o *OpenRuns) SetAlive(now time.Duration, p Process) {
	delete(o.ended, p)
	if len(o.byProcess[p]) > 0 {
		o.drop(p, func(run OpenRun) bool { return run.Deadline < now })
	}
}

// drop removes the open runs of a process for which isOver returns true.
func (o *OpenRuns) drop(p Process, isOver func(OpenRun) bool) {
	runs := slices.DeleteFunc(o.byProcess[p], isOver)
	if len(runs) == 0 {
		delete(o.byProcess, p)
		return
	}
	o.byProcess[p] = runs
}

// sweep removes, seldom, what is too old for the end of its process to be found.
func (o *OpenRuns) sweep(now time.Duration) {
	if now-o.sweptAt < endDetectionTime {
		return
	}
	o.sweptAt = now
	for p := range o.byProcess {
		o.drop(p, func(run OpenRun) bool { return now-run.Deadline > endDetectionTime })
	}
	for p, at := range o.ended {
		if now-at > suspectTTL {
			delete(o.ended, p)
		}
	}
}
