// Package reach judges whether an instance has lost its links to all upstreams.
//
// It imports the standard library. Package app/edge reports the outcomes of connection attempts to it
// and makes the checks that it asks for. It does no I/O and reads no clock.
//
// One upstream that accepts no connection has ended or is overloaded. If none of several
// does, the links of this instance are the likelier cause, so the evidence is gathered at
// once: a few other upstreams are checked as soon as one has failed.
package reach

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// evidenceWindow is how long a failed connection attempt counts.
	evidenceWindow = 2 * time.Second
	// cutFailures is how many upstreams must accept no connection, with none that does, for
	// the links to count as lost; all of them if there are fewer.
	cutFailures = 5
	// sampleSize is the number of upstreams in a check.
	sampleSize = 5
	// checkInterval is the interval between two checks.
	checkInterval = 300 * time.Millisecond
	// soundTime is how long after the last failed attempt the links count as sound. Upstreams
	// that are held to be dead are tried more often than that.
	soundTime = 5 * time.Second
	// restoreChecks is how many checks in a row must succeed before the links count as
	// restored: links that come back may be lost again.
	restoreChecks = 2
)

// Tracker holds the outcomes of recent connection attempts. It is not safe for concurrent use.
type Tracker struct {
	// failures holds the addresses that accepted no connection since the last success, with
	// the time of the newest attempt.
	failures map[string]time.Duration
	// lastFailure is when an attempt last failed, if hasFailed is set.
	lastFailure time.Duration
	hasFailed   bool
	// listed is the number of upstreams that can be tried.
	listed    int
	lastCheck time.Duration
	isCut     bool
	// goodChecks is the number of good checks in a row while the links count as lost.
	goodChecks int
}

// SetListed sets the number of upstreams that can be tried.
func (t *Tracker) SetListed(n int) { t.listed = n }

// RecordSuccess records that an upstream accepted a connection.
func (t *Tracker) RecordSuccess() { clear(t.failures) }

// RecordFailure records that an upstream accepted no connection.
func (t *Tracker) RecordFailure(now time.Duration, address string) {
	if t.failures == nil {
		t.failures = map[string]time.Duration{}
	}
	t.failures[address] = now
	t.lastFailure, t.hasFailed = now, true
	for other, at := range t.failures {
		if now-at > evidenceWindow {
			delete(t.failures, other)
		}
	}
	if t.listed > 0 && len(t.failures) >= min(cutFailures, t.listed) {
		t.isCut, t.goodChecks = true, 0
	}
}

// IsCut reports whether the links to all upstreams are lost.
func (t *Tracker) IsCut() bool { return t.isCut }

// IsSound reports whether no upstream failed to accept a connection of late.
func (t *Tracker) IsSound(now time.Duration) bool {
	return !t.isCut && (!t.hasFailed || now-t.lastFailure > soundTime)
}

// InDoubt reports whether an upstream accepted no connection since the last success.
func (t *Tracker) InDoubt() bool { return !t.isCut && len(t.failures) > 0 }

// NeedsCheck reports whether a sample of the upstreams has to be checked now. It returns true
// once in checkInterval.
func (t *Tracker) NeedsCheck(now time.Duration) bool {
	if !t.isCut && !t.InDoubt() || now-t.lastCheck < checkInterval {
		return false
	}
	t.lastCheck = now
	return true
}

// Sample returns the addresses to check: some of those listed, preferably ones that have not
// failed.
func (t *Tracker) Sample(listed []string) []string {
	var untried, failed []string
	for _, i := range rand.Perm(len(listed)) {
		if _, ok := t.failures[listed[i]]; ok {
			failed = append(failed, listed[i])
			continue
		}
		untried = append(untried, listed[i])
	}
	sample := slices.Concat(untried, failed)
	return sample[:min(sampleSize, len(sample))]
}

// RecordCheck records the outcome of a check: how many upstreams of the sample accepted a
// connection.
func (t *Tracker) RecordCheck(accepted, size int) {
	switch {
	case !t.isCut || size == 0:
	case 2*accepted < size:
		t.goodChecks = 0
	default:
		if t.goodChecks++; t.goodChecks >= restoreChecks {
			t.isCut, t.goodChecks = false, 0
		}
	}
}
