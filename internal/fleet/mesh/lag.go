package mesh

import (
	"time"

	"fulmarwick/internal/base/spec"
)

// lagTimeout is how long an instance that lags behind another one waits for an update
// before it reads the store itself. It exceeds the interval between two reads by the
// reader: an instance that has just started may be ahead of the reader by that much,
// and otherwise all instances would read the store whenever one starts.
const lagTimeout = 900 * time.Millisecond

// constrainedLagTimeout is the same for a constrained instance, which needs longer to read and parse a
// large row.
const constrainedLagTimeout = 500 * time.Millisecond

// lag records that other instances know a table up to a version that this instance has
// not reached.
type lag struct {
	version  spec.Revision
	since    time.Duration
	reported bool
}

func (l *Logic) lagTimeout() time.Duration {
	if l.Constrained {
		return constrainedLagTimeout
	}
	return lagTimeout
}

// checkLag records the tables in which this instance lags behind others. That others
// read the store does not mean that their changes arrived here: the instance that
// should send them may be frozen, or the message may have been lost.
func (l *Logic) checkLag(now time.Duration) {
	checkpoints := l.Local.Checkpoints()
	lagging := false
	for name, local := range checkpoints {
		known, tracked := l.lags[name]
		if tracked && local.Version >= known.version {
			delete(l.lags, name)
			tracked = false
		}
		if !tracked {
			if version := l.aheadVersion(name, local); version > 0 {
				l.lags[name] = lag{version: version, since: now}
			}
			continue
		}
		if now-known.since < l.lagTimeout() {
			continue
		}
		lagging = true
		if !known.reported {
			known.reported = true
			l.lags[name] = known
			l.Receiver.ReportLag(name, local.Version, known.version)
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.isLagging = lagging
}
