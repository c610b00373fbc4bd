package edge

import (
	"context"
	"time"

	"fulmarwick/internal/base/site"
	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/crash"
	"fulmarwick/internal/route/path"
	"fulmarwick/internal/wire/client"
	"fulmarwick/internal/wire/relay"

	"github.com/go-faster/errors"
)

// endChecks are the pauses before the attempts to connect to an upstream that may have ended. A
// process that ends may close its listener later than its connections, and a request for which nobody
// waits may crash it a moment later.
var endChecks = [...]time.Duration{0, 50 * time.Millisecond, 200 * time.Millisecond, 500 * time.Millisecond, time.Second}

// endConfirmDelay is the pause before a second attempt to connect shows that a refused one was no
// overload.
const endConfirmDelay = 10 * time.Millisecond

// processOf returns the process that a row of the list describes.
func processOf(up site.Upstream) crash.Process {
	return crash.Process{Upstream: up.ID, Incarnation: up.Born}
}

// keepOpen records a run that got no answer, so that it counts against its request if the upstream ends.
// first is the process that drives the run; r.mu is held.
func (r *router) keepOpen(event crash.Event, first crash.Process, deadline time.Time) {
	now := r.now()
	if !r.openRuns.Add(now, crash.OpenRun{Crash: event, First: first, LeftAt: now, Deadline: now + time.Until(deadline)}) {
		r.recordCrash(event)
	}
}

// keepOpenRun records a run on a path that got no answer, on each engine on which it may have just begun;
// r.mu is held.
func (r *router) keepOpenRun(svc *serviceState, run *relay.Run, t *runState) {
	first := crash.Process{Upstream: t.chain[0].Engine(), Incarnation: t.born[0]}
	isSuspect := r.crashBook.EndedCount(r.now(), run.Suspects[0]) > 0
	for n, stage := range t.chain {
		id := stage.Engine()
		if t.isCounted(id) || !t.isNewOn(id, run) {
			continue
		}
		event := r.crashOn(svc, run, t, id)
		event.Incarnation = t.born[n]
		r.keepOpen(event, first, run.Deadline)
		if up, ok := svc.model.Upstream(id); ok && isSuspect {
			r.checkEnd(svc, up)
		}
	}
}

// keepOpenOn records a run that is about to leave a silent engine on which it may have just begun; r.mu is
// held.
func (r *router) keepOpenOn(svc *serviceState, run *relay.Run, t *runState, up site.Upstream) {
	if t.isCounted(up.ID) || !t.isNewOn(up.ID, run) {
		return
	}
	event := r.crashOn(svc, run, t, up.ID)
	event.Incarnation = up.Born
	t.counted = append(t.counted, up.ID)
	r.keepOpen(event, crash.Process{Upstream: t.chain[0].Engine(), Incarnation: t.born[0]}, run.Deadline)
}

// maxCrashDelay is how long after its first event on an engine a run may crash it.
const maxCrashDelay = time.Second

// recordCrashesOf records a crash against each run on a dead engine that had just begun:
// one of them may have caused it.
func (r *router) recordCrashesOf(up site.Upstream) {
	r.mu.Lock()
	defer r.mu.Unlock()
	svc := r.service(up.Service)
	if svc.model == nil || svc.model.Health(up.ID) != path.HealthDead {
		return
	}
	r.endProcess(up)
	for _, run := range svc.runsThrough(up.ID) {
		t := svc.runs[run]
		if !t.isNewOn(up.ID, run) {
			continue
		}
		event := r.crashOn(svc, run, t, up.ID)
		event.Incarnation = up.Born
		t.counted = append(t.counted, up.ID)
		r.recordCrash(event)
	}
}

// crashOn returns the crash of an engine under a run on it, without the process; r.mu is held.
func (r *router) crashOn(svc *serviceState, run *relay.Run, t *runState, id spec.UpstreamID) crash.Event {
	event := crash.NewCrash(run.Suspects)
	event.Upstream, event.RanMs = id, time.Since(t.beganOn(id, run)).Milliseconds()
	event.IsWeak = t.deliveredOn(id, run) && svc.model.StreamCount(id) > 1
	return event
}

// endProcess records the end of a process against the requests that it may have run; r.mu is held.
func (r *router) endProcess(up site.Upstream) {
	for _, run := range r.openRuns.End(r.now(), processOf(up)) {
		run.Crash.AgeMs = (r.now() - run.LeftAt).Milliseconds()
		r.recordCrash(run.Crash)
	}
}

// checkEnd checks in the background whether an upstream has ended; r.mu is held.
func (r *router) checkEnd(svc *serviceState, up site.Upstream) {
	_, running := svc.checks[up.ID]
	svc.checks[up.ID] = r.now()
	if !running {
		go r.checkUpstream(svc, up)
	}
}

// checkUpstream tries to connect to an upstream that may have ended, until some time after the last
// reason for that came up. No request may find out in time.
func (r *router) checkUpstream(svc *serviceState, up site.Upstream) {
	for {
		r.mu.Lock()
		requestedAt := svc.checks[up.ID]
		r.mu.Unlock()
		hasEnded := r.hasEnded(up)
		r.mu.Lock()
		if hasEnded {
			r.endProcess(up)
			svc.plain.StartCooldown(r.now(), up.ID)
		}
		isDone := hasEnded || svc.checks[up.ID] == requestedAt || r.isStopped()
		if isDone {
			delete(svc.checks, up.ID)
		}
		r.mu.Unlock()
		if hasEnded && svc.model != nil {
			r.onSuspect(up)
		}
		if isDone {
			return
		}
	}
}

// hasEnded reports whether an upstream has ended: it refuses two connections in a row, or answers none for
// cutOffAfter, while this instance has its links. One that answers none for less may have paused.
func (r *router) hasEnded(up site.Upstream) bool {
	var silentSince time.Time
	for _, pause := range endChecks {
		if !r.pause(pause) {
			return false
		}
		start := time.Now()
		err := r.connect(up)
		if !errors.Is(err, client.ErrDialTimeout) {
			silentSince = time.Time{}
			if err != nil && r.pause(endConfirmDelay) && r.refusesConnection(up) {
				return !r.linksLost(context.Background())
			}
			continue
		}
		if silentSince.IsZero() {
			silentSince = start
		}
		if time.Since(silentSince) >= cutOffAfter {
			return !r.linksLost(context.Background())
		}
	}
	return false
}

func (r *router) refusesConnection(up site.Upstream) bool {
	err := r.connect(up)
	return err != nil && !errors.Is(err, client.ErrDialTimeout)
}

func (r *router) isStopped() bool {
	select {
	case <-r.stopped:
		return true
	default:
		return false
	}
}

// pause waits. It returns false if the instance stops first.
func (r *router) pause(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.stopped:
		return false
	}
}

// listedStarts holds the start times of the listed processes, by ID and, the latest one, by address.
type listedStarts struct {
	byID      map[spec.UpstreamID]int64
	byAddress map[string]int64
}

func newListedStarts(list []site.Upstream) listedStarts {
	out := listedStarts{byID: make(map[spec.UpstreamID]int64, len(list)), byAddress: make(map[string]int64, len(list))}
	for _, up := range list {
		out.byID[up.ID] = up.Born
		out.byAddress[up.Address] = max(out.byAddress[up.Address], up.Born)
	}
	return out
}

// endReplaced records the ends of the processes of a service whose places others have taken in a new
// list, and checks those that are missing in it; r.mu is held. Processes that had announced that they
// leave do not count.
func (r *router) endReplaced(svc *serviceState, starts listedStarts) {
	for _, up := range svc.upstreams {
		born, isListed := starts.byID[up.ID]
		switch {
		case up.State != site.StateReady:
		case isListed && born != up.Born, starts.byAddress[up.Address] > up.Born:
			r.endProcess(up)
		case !isListed && r.openRuns.Has(processOf(up)):
			r.checkEnd(svc, up)
		}
	}
}

// checkReportedEnd checks an upstream of which another instance reported that it crashed, if requests
// from here may have been on it; r.mu is held.
func (r *router) checkReportedEnd(c crash.Event) {
	if c.Kind != crash.EventCrash || !r.openRuns.Has(c.Process()) {
		return
	}
	for _, svc := range r.services {
		for _, up := range svc.upstreams {
			if processOf(up) == c.Process() {
				r.checkEnd(svc, up)
				return
			}
		}
	}
}
