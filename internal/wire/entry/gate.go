package entry

import (
	"net/http"
	"sync"
	"time"

	"fulmarwick/internal/base/spec"
)

// busyRetryAfter is what a caller above a limit on streams is told to wait.
const busyRetryAfter = time.Second

// limiter counts the requests in progress and refuses those above the limits.
//
// Without it a caller that opens streams and never reads them would take the
// memory of the instance; each of them holds at most the buffer's limit.
type limiter struct {
	limits Limits

	mu     sync.Mutex
	total  int
	byTeam map[spec.TeamID]int
}

// acquire takes a place for a request of team, or says why there is none.
func (g *limiter) acquire(team spec.TeamID) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.limits.Streams > 0 && g.total >= g.limits.Streams {
		f := newFault(http.StatusServiceUnavailable, "busy", "This instance runs as many requests as it may.", RanNo)
		f.After = busyRetryAfter
		return f
	}
	if g.limits.Team > 0 && g.byTeam[team] >= g.limits.Team {
		f := newFault(http.StatusTooManyRequests, "team-streams", "The team runs as many requests at once as it may.", RanNo)
		f.After = busyRetryAfter
		return f
	}
	if g.byTeam == nil {
		g.byTeam = map[spec.TeamID]int{}
	}
	g.total++
	g.byTeam[team]++
	return nil
}

func (g *limiter) release(team spec.TeamID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.total--
	g.byTeam[team]--
	if g.byTeam[team] == 0 {
		delete(g.byTeam, team)
	}
}

func (g *limiter) running() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.total
}
