package crash

import "time"

const (
	// maxDeliveredParts is the maximum number of parts in memory that runs delivered of late.
	maxDeliveredParts = 8192
	// maxExplained is the maximum number of ended processes in memory that culprits explain.
	maxExplained = 1024
)

// deliveredParts holds parts of which runs delivered of late, each with the time until when other
// instances know. It keeps two generations and drops the older one when the newer is full.
type deliveredParts struct {
	newer, older map[Key]time.Duration
}

func (d *deliveredParts) add(key Key) {
	if _, ok := d.newer[key]; !ok {
		d.set(key, d.older[key])
	}
}

func (d *deliveredParts) set(key Key, knownUntil time.Duration) {
	if d.newer == nil || len(d.newer) >= maxDeliveredParts/2 {
		d.newer, d.older = map[Key]time.Duration{}, d.newer
	}
	d.newer[key] = knownUntil
}

func (d *deliveredParts) has(key Key) bool {
	_, ok := d.get(key)
	return ok
}

func (d *deliveredParts) get(key Key) (knownUntil time.Duration, ok bool) {
	if knownUntil, ok = d.newer[key]; !ok {
		knownUntil, ok = d.older[key]
	}
	return knownUntil, ok
}

// setKnown records that all instances know of a part.
func (d *deliveredParts) setKnown(now time.Duration, key Key) { d.set(key, now+suspectTTL) }

// isUnknown reports whether runs delivered a part and other instances may not know.
func (d *deliveredParts) isUnknown(now time.Duration, key Key) bool {
	knownUntil, ok := d.get(key)
	return ok && now >= knownUntil
}

// explainedProcesses holds the processes that ended under culprits of late.
type explainedProcesses map[Process]time.Duration

// add adds a process that was found to be explained at a time.
func (e explainedProcesses) add(now time.Duration, p Process) {
	if len(e) >= maxExplained {
		clear(e)
	}
	e[p] = now
}

// has reports whether a process is held and was added within suspectTTL.
func (e explainedProcesses) has(now time.Duration, p Process) bool {
	at, ok := e[p]
	return ok && now-at <= suspectTTL
}
