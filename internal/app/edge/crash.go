package edge

import (
	"context"
	"strconv"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/crash"
	"fulmarwick/internal/wire/relay"

	"go.uber.org/zap"
)

// recordCrash records a crash against the request that the upstream ran for this instance, and
// keeps it for the other instances if it is news; r.mu is held.
func (r *router) recordCrash(c crash.Event) {
	c.Own = true
	if r.applyCrash(c) {
		r.unreportedCrashes = append(r.unreportedCrashes, c)
	}
}

// applyCrash records an event and reports whether it is news; r.mu is held.
func (r *router) applyCrash(c crash.Event) bool {
	now := r.now()
	news := r.crashBook.Record(now, c)
	key := c.Key()
	r.onCrash(c, crashCount{isNews: news, ended: r.crashBook.EndedCount(now, key), causes: r.crashBook.Count(now, key), standing: r.crashBook.Standing(now, key)})
	r.applyStandings()
	return news
}

// applyStandings reports the changes of standings that this instance has to report, and has the
// evidence against parts weighed when that is due; r.mu is held.
func (r *router) applyStandings() {
	for _, c := range r.crashBook.TakeChanges() {
		if c.Own {
			r.unreportedCrashes = append(r.unreportedCrashes, c.Event(r.now()))
		}
		r.onStanding(c)
	}
	if at, due := r.crashBook.SettleAt(); due && !r.settling {
		r.settling = true
		time.AfterFunc(at-r.now(), r.settle)
	}
}

// settle weighs the evidence against parts of prompts.
func (r *router) settle() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.settling = false
	r.crashBook.Settle(r.now())
	r.applyStandings()
}

// hasUnreportedCrashes reports whether crashes were recorded since the last takeCrashes.
func (r *router) hasUnreportedCrashes() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.unreportedCrashes) > 0
}

// takeCrashes returns the crashes recorded since the last call.
func (r *router) takeCrashes() []crash.Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := r.unreportedCrashes
	r.unreportedCrashes = nil
	return out
}

// applyPeerCrashes records events that another instance reported.
func (r *router) applyPeerCrashes(crashes []crash.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range crashes {
		r.applyCrash(c)
		r.checkReportedEnd(c)
	}
}

// IsCulprit reports whether a request with these suspects is held to crash upstreams.
func (r *router) IsCulprit(suspects []crash.Key) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.crashBook.IsCulprit(r.now(), suspects)
}

// CountRequest counts a request of a route.
func (r *router) CountRequest(route string, suspects []crash.Key) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.crashBook.CountRequest(route, suspects)
}

// AllowSend returns why a request must not be sent now, or nil. If some of its suspects are
// quarantined, it asks for a trial.
func (r *router) AllowSend(ctx context.Context, suspects []crash.Key) error {
	untried, err := r.checkSend(suspects)
	if len(untried) == 0 {
		return err
	}
	granted := r.takeTrials(ctx, untried)
	r.mu.Lock()
	defer r.mu.Unlock()
	if granted {
		r.crashBook.GrantTrials(r.now(), untried)
	}
	return r.crashBook.Check(r.now(), suspects)
}

// hasExpiredTrial reports whether a trial of a suspect was granted to this instance that did not begin in time.
func (r *router) hasExpiredTrial(key crash.Key) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.crashBook.HasExpiredTrial(r.now(), key)
}

// checkSend returns why a request must not be sent, and the suspects that need a trial first.
func (r *router) checkSend(suspects []crash.Key) (untried []crash.Key, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.crashBook.NeedTrials(r.now(), suspects), r.crashBook.Check(r.now(), suspects)
}

// clear removes the suspicion from a request that an upstream answered after a run that began at a
// time. If it was restricted, the other instances learn of it; r.mu is held.
func (r *router) clear(suspects []crash.Key, began time.Time) {
	r.crashBook.Clear(r.now(), suspects, r.now()-time.Since(began))
	r.applyStandings()
}

// Survive removes the suspicion from the parts of a request of which a run goes on to deliver. Its
// first event came at a time.
func (r *router) Survive(suspects []crash.Key, firstEvent time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.crashBook.Survive(r.now(), suspects, r.now()-time.Since(firstEvent))
	r.applyStandings()
}

// suspectRun is a run, ended by now, of a request under which upstreams have ended.
type suspectRun struct {
	upstream spec.UpstreamID
	suspects []crash.Key
	took     time.Duration
	end      relay.RunEnd
	count    crashCount
}

// reportSuspectRun reports a run if upstreams have ended under its request; r.mu is held.
func (r *router) reportSuspectRun(run suspectRun) {
	now, request := r.now(), run.suspects[0]
	run.count = crashCount{ended: r.crashBook.EndedCount(now, request), causes: r.crashBook.Count(now, request), standing: r.crashBook.Standing(now, request)}
	if run.count.ended > 0 || run.count.standing > crash.StandingFree {
		r.onSuspectRun(run)
	}
}

// crashCount is what counts against a request after an event.
type crashCount struct {
	isNews bool
	// ended is the number of upstreams that ended under it, causes that of crashes with
	// separate causes.
	ended, causes int
	standing      crash.Standing
}

// logCrash counts a crash of an upstream under a request. It logs the crash unless it is
// the first one of the request: most requests on a crashed upstream have no part in it.
func (i *Instance) logCrash(c crash.Event, count crashCount) {
	i.meters.GetOrCreateCounter(`fulmarwick_crashes_total{counted="` + strconv.FormatBool(count.isNews) + `"}`).Inc()
	if count.isNews && count.ended == 1 || c.Kind != crash.EventCrash && !count.isNews {
		return
	}
	i.Log.Info("edge: upstream crashed under a request", zap.Stringer("fingerprint", c.Key()), zap.Stringers("parts", c.PartKeys()), zap.Stringer("event", c.Kind),
		zap.String("upstream", string(c.Upstream)), zap.Int64("incarnation", c.Incarnation), zap.Int64("ran ms", c.RanMs),
		zap.Bool("counted", count.isNews), zap.Int("ended", count.ended), zap.Int("crashes", count.causes), zap.Stringer("standing", count.standing))
}

// logSuspectRun counts and logs how a run of a suspect ended.
func (i *Instance) logSuspectRun(run suspectRun) {
	i.meters.GetOrCreateCounter(`fulmarwick_suspect_runs_total{end="` + run.end.String() + `"}`).Inc()
	i.Log.Info("edge: run of a suspect ended", zap.Stringer("suspect", run.suspects[0]), zap.String("upstream", string(run.upstream)), zap.Stringer("end", run.end),
		zap.Duration("took", run.took), zap.Int("ended", run.count.ended), zap.Stringer("standing", run.count.standing))
}

// changeStanding logs a change of the standing of a suspect and, if this instance has to report it,
// has it stored.
func (i *Instance) changeStanding(c crash.Change) {
	if c.Standing == crash.StandingFree && !c.Lifted {
		return
	}
	i.Log.Info("edge: standing of a suspect changed", zap.Stringer("suspect", c.Key), zap.Stringer("standing", c.Standing), zap.Int("ended", c.Ended), zap.Bool("own", c.Own))
	if c.Own {
		i.culprits.add(c.Key, c.Standing, time.Now())
	}
}
