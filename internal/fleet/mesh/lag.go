package mesh

import "time"

// patience is how long an instance that knows less than another one waits to be
// told before it reads the store itself. It is above the pause between two reads
// for all: one that has just started may be ahead of the reader by that much, and
// all would read at each start.
const patience = 900 * time.Millisecond

// lag is that others know a table up to a version that this instance has not
// reached.
type lag struct {
	version uint64
	since   time.Duration
	noted   bool
}

// judge notes which tables this instance is behind with. That others read the
// store does not say that what they read came here: its teller may be frozen, or
// the message lost.
func (l *Logic) judge(now time.Duration) {
	marks := l.Self.Marks()
	late := false
	for name, mine := range marks {
		old, was := l.lags[name]
		if was && mine.Version >= old.version {
			delete(l.lags, name)
			was = false
		}
		if !was {
			if version := l.ahead(name, mine); version > 0 {
				l.lags[name] = lag{version: version, since: now}
			}
			continue
		}
		if now-old.since < patience {
			continue
		}
		late = true
		if !old.noted {
			old.noted = true
			l.lags[name] = old
			l.Taker.Behind(name, mine.Version, old.version)
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.late = late
}
