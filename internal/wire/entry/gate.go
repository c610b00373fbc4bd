package entry

import (
	"net/http"
	"sync"
	"time"

	"fulmarwick/internal/base/spec"
)

// busyRetry is what a caller above a limit on streams is told to wait.
const busyRetry = time.Second

// gate counts the requests in progress and refuses those above the limits.
//
// Without it a caller that opens streams and never reads them would take the
// memory of the instance; each of them holds at most the buffer's limit.
type gate struct {
	limits Limits

	mu    sync.Mutex
	total int
	teams map[spec.TeamID]int
}

// enter takes a place for a request of team, or says why there is none.
func (g *gate) enter(team spec.TeamID) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.limits.Streams > 0 && g.total >= g.limits.Streams {
		f := newFault(http.StatusServiceUnavailable, "busy", "This instance runs as many requests as it may.", RanNo)
		f.After = busyRetry
		return f
	}
	if g.limits.Team > 0 && g.teams[team] >= g.limits.Team {
		f := newFault(http.StatusTooManyRequests, "team-streams", "The team runs as many requests at once as it may.", RanNo)
		f.After = busyRetry
		return f
	}
	if g.teams == nil {
		g.teams = map[spec.TeamID]int{}
	}
	g.total++
	g.teams[team]++
	return nil
}

func (g *gate) leave(team spec.TeamID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.total--
	g.teams[team]--
	if g.teams[team] == 0 {
		delete(g.teams, team)
	}
}

func (g *gate) inside() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.total
}
