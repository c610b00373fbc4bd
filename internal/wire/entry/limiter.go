package entry

import (
	"net/http"
	"sync"
	"time"

	"fulmarwick/internal/base/spec"
)

// busyRetryAfter is the Retry-After of requests above a limit on concurrent
// requests, and of requests before the first configuration.
const busyRetryAfter = time.Second

// limiter counts the running requests and rejects those above the limits.
//
// Without it a caller that opens streams and never reads them could exhaust the
// memory of the instance. Each stream buffers at most Limits.Buffer bytes.
type limiter struct {
	limits Limits

	mu     sync.Mutex
	total  int
	byTeam map[spec.TeamID]int
}

// acquire counts a new request of team, or returns a fault if a limit is reached.
// Each successful call must be followed by a call of release.
func (l *limiter) acquire(team spec.TeamID) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.limits.Streams > 0 && l.total >= l.limits.Streams {
		f := newFault(http.StatusServiceUnavailable, "busy", "This instance runs as many requests as it may.", RanNo)
		f.RetryAfter = busyRetryAfter
		return f
	}
	if l.limits.TeamStreams > 0 && l.byTeam[team] >= l.limits.TeamStreams {
		f := newFault(http.StatusTooManyRequests, "team-streams", "The team runs as many requests at once as it may.", RanNo)
		f.RetryAfter = busyRetryAfter
		return f
	}
	if l.byTeam == nil {
		l.byTeam = map[spec.TeamID]int{}
	}
	l.total++
	l.byTeam[team]++
	return nil
}

// release ends a request counted by acquire.
func (l *limiter) release(team spec.TeamID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.total--
	l.byTeam[team]--
	if l.byTeam[team] == 0 {
		delete(l.byTeam, team)
	}
}

// running returns the number of running requests.
func (l *limiter) running() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.total
}
