package path

import (
	"time"

	"fulmarwick/internal/base/site"
	"fulmarwick/internal/base/spec"
)

// leftoverDuration is how long requests that no instance knows of are expected to run on.
// Most answers end within it.
const leftoverDuration = 2 * time.Second

// leftover is what an engine holds for requests that no instance knows of. When all
// instances lose power, engines don't notice it and go on with their requests, while the
// callers of these return all at once. Instances that took the engines for empty sent
// them more than they could hold.
type leftover struct {
	cells      int
	streams    int
	reportedAt time.Duration
}

// at returns what is left at a time: the requests end one after the other.
func (l leftover) at(now time.Duration) Usage {
	age := now - l.reportedAt
	if l.cells <= 0 || age >= leftoverDuration {
		return Usage{}
	}
	share := 1 - float64(age)/float64(leftoverDuration)
	return Usage{Streams: int(share * float64(l.streams)), Cells: int(share * float64(l.cells))}
}

// subtract removes requests that an instance turned out to know.
func (l *leftover) subtract(u Usage) {
	l.cells = max(0, l.cells-u.Cells)
	l.streams = max(0, l.streams-u.Streams)
}

// RecordLeftover applies the first report of an engine after this instance started. What
// the engine holds beyond the requests that are known belongs to earlier processes, or to
// instances that have reported nothing yet.
func (t *Table) RecordLeftover(now time.Duration, id spec.UpstreamID, report site.Report) {
	e := t.byID[id]
	if e == nil || report.Born != 0 && report.Born != e.upstream.Born {
		return
	}
	e.leftover = leftover{cells: report.KVUsed, streams: report.Active, reportedAt: now}
	e.leftover.subtract(e.usage())
}

// subtractLeftovers removes the first reported usage of another instance from what nobody
// knew of.
func (t *Table) subtractLeftovers(usages map[spec.UpstreamID]Usage) {
	for id, u := range usages {
		if e := t.byID[id]; e != nil {
			e.leftover.subtract(u)
		}
	}
}
