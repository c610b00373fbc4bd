package mesh

import "time"

// lagTimeout is how long an instance that knows less than another one waits to be
// told before it reads the store itself. It is above the pause between two reads
// for all: one that has just started may be ahead of the reader by that much, and
// all would read at each start.
const lagTimeout = 900 * time.Millisecond

// lag is that others know a table up to a version that this instance has not
// reached.
type lag struct {
	version  uint64
	since    time.Duration
	reported bool
}

// checkLag notes which tables this instance is behind with. That others read the
// store does not say that what they read came here: its teller may be frozen, or
// the message lost.
func (l *Logic) checkLag(now time.Duration) {
	marks := l.Local.Checkpoints()
	late := false
	for name, mine := range marks {
		old, was := l.lags[name]
		if was && mine.Version >= old.version {
			delete(l.lags, name)
			was = false
		}
		if !was {
			if version := l.aheadVersion(name, mine); version > 0 {
				l.lags[name] = lag{version: version, since: now}
			}
			continue
		}
		if now-old.since < lagTimeout {
			continue
		}
		late = true
		if !old.reported {
			old.reported = true
			l.lags[name] = old
			l.Receiver.ReportLag(name, mine.Version, old.version)
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.isLagging = late
}
