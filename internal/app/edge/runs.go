package edge

import (
	"slices"
	"time"

	"fulmarwick/internal/base/site"
	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/crash"
	"fulmarwick/internal/route/path"
	"fulmarwick/internal/route/share"
	"fulmarwick/internal/route/shed"
	"fulmarwick/internal/wire/relay"
)

// runState holds how a run is currently counted in the table of engines.
type runState struct {
	team string
	// pending is the request of the run for the gate.
	pending *shed.Pending
	chain   spec.Chain
	// born are the start times of the processes on chain.
	born               []int64
	awaitingFirstEvent bool
	// hasSpareAttempt is HasSpareAttempt of the run for callers that hold router.mu.
	hasSpareAttempt func() bool
	// formerChain is the path that the run still uses while its engines have not accepted
	// chain.
	formerChain spec.Chain
	// rereading holds the stages that read the tokens so far again after a change of
	// path at movedAt. It is cleared by the next event, which shows that they are
	// done.
	rereading spec.Chain
	// movedAt is the time of the last change of path, and joined are the stages that were
	// new on the path then.
	movedAt time.Time
	joined  spec.Chain
	// counted are the engines whose crashes are counted against the request.
	counted []spec.UpstreamID
	// eventsAtMove is the number of events before the last change of path.
	eventsAtMove int
}

// deliveredOn reports whether a run has delivered more than its first event on an engine.
func (t *runState) deliveredOn(id spec.UpstreamID, run *relay.Run) bool {
	events := run.EventCount()
	if t.joined.Uses(id) {
		events -= t.eventsAtMove
	}
	return events > 1
}

// isNewOn reports whether a run had just begun on an engine of its path when it delivered
// its newest event: a request that crashes engines does so as they begin to run it.
func (t *runState) isNewOn(id spec.UpstreamID, run *relay.Run) bool {
	return run.ProducingTime() <= maxCrashDelay || t.joined.Uses(id) && run.LastEvent().Sub(t.movedAt) <= maxCrashDelay
}

// beganOn returns when a run was sent to an engine of its path.
func (t *runState) beganOn(id spec.UpstreamID, run *relay.Run) time.Time {
	if t.joined.Uses(id) {
		return t.movedAt
	}
	return run.Start
}

// isCounted reports whether the crash of an engine is counted against the request.
func (t *runState) isCounted(id spec.UpstreamID) bool { return slices.Contains(t.counted, id) }

// startTimes returns the start times of the processes of a chain.
func (svc *serviceState) startTimes(chain spec.Chain) []int64 {
	out := make([]int64, len(chain))
	for n, stage := range chain {
		if up, ok := svc.model.Upstream(stage.Engine()); ok {
			out[n] = up.Born
		}
	}
	return out
}

// estimateDemand returns the estimated token demand of a model request of a class.
func (svc *serviceState) estimateDemand(class string, header site.RequestHeader) path.Demand {
	m := svc.model.Model
	demand := path.Demand{Prompt: header.PromptTokens, Answer: header.MaxTokens}
	if demand.Prompt == 0 {
		demand.Prompt = m.TypicalPrompt
	}
	if header.LengthHint > 0 && (header.MaxTokens == 0 || header.LengthHint < header.MaxTokens) {
		demand.Answer = header.LengthHint
	}
	if demand.Answer == 0 {
		demand.Answer = m.TypicalAnswer
	}
	demand.MeanTokens, demand.TokenVariance = svc.answerLengths.HeldTokens(class, demand.Prompt, demand.Answer, header.MaxTokens)
	return demand
}

// startRun chooses a path and registers a run on it; r.mu is held.
func (r *router) startRun(svc *serviceState, c *relay.Call, o relay.RunOptions) (*relay.Run, error) {
	resumed := o.Kind == relay.RunResume
	if !resumed && r.isReserved(svc, c) {
		return nil, share.ErrReserved
	}
	if err := r.crashBook.Check(r.now(), c.Suspects()); err != nil {
		return nil, err
	}
	demand := svc.estimateDemand(c.Route.Name, c.ParsedHeader)
	demand.Resumed = resumed
	chain, err := svc.model.Choose(r.now(), demand, avoidFilter(o.Avoid))
	if err != nil {
		return nil, err
	}
	run := relay.NewRun(chain, svc.model.Hops(chain))
	r.crashBook.Begin(r.now(), c.Suspects())
	svc.attempted[chain[0].Engine()]++
	run.Request, run.Service, run.Route, run.Demand = c.ParsedHeader.ID, svc.name, c.Route.Name, demand
	run.Resumable, run.Suspects, run.Deadline = c.Route.Resumable, c.Suspects(), c.Deadline
	// For a passed request, the instance that passed it on counts one attempt.
	hasSpareAttempt := func() bool {
		return !c.Passed && svc.hasSpareAttempt(c.Route.MaxAttempts, o.Attempted, chain[0].Engine())
	}
	run.HasSpareAttempt = func() bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		return hasSpareAttempt()
	}
	svc.model.Begin(chain, demand)
	svc.model.RecordSent(r.now(), chain, demand)
	svc.model.RecordTransfer(r.now(), chain, demand)
	r.takeStages(chain)
	born := svc.startTimes(chain)
	run.First = crash.Process{Upstream: chain[0].Engine(), Incarnation: born[0]}
	svc.runs[run] = &runState{team: c.Team, pending: r.await(svc, c), chain: chain, born: born, awaitingFirstEvent: true, hasSpareAttempt: hasSpareAttempt}
	svc.teams.Own().Begin(c.Team)
	return run, nil
}

// await has the gate of a service watch whether the answer to a request begins in time; r.mu is held.
func (r *router) await(svc *serviceState, c *relay.Call) *shed.Pending {
	return svc.gate.Await(r.now()-time.Since(c.Start), c.ShedRank, c.Route.TargetLatency)
}

// avoidFilter matches the engines on which a request failed before, whether as first
// engine or not: any of them may be the cause.
func avoidFilter(avoid []spec.UpstreamID) func(spec.UpstreamID) bool {
	if len(avoid) == 0 {
		return nil
	}
	return func(id spec.UpstreamID) bool { return slices.Contains(avoid, id) }
}

// RecordFirstEvent records that the first event of a run arrived.
func (r *router) RecordFirstEvent(run *relay.Run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	svc := r.service(run.Service)
	if t := svc.runs[run]; t != nil && t.awaitingFirstEvent {
		t.awaitingFirstEvent = false
		svc.gate.RecordBegin(r.now(), t.pending)
		svc.model.PrefillDone(t.chain, run.Demand)
		svc.firstLatency += time.Duration(firstLatencyWeight * float64(time.Since(run.Start)-svc.firstLatency))
	}
}

// EndRun removes a run that ended; whole reports whether it delivered the whole answer.
// Waiting requests are admitted to the capacity that it frees.
func (r *router) EndRun(run *relay.Run, end relay.RunEnd, whole bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	svc := r.service(run.Service)
	chain, _ := run.Chain()
	r.reportSuspectRun(suspectRun{upstream: chain[0].Engine(), suspects: run.Suspects, took: time.Since(run.Start), end: end})
	if whole {
		svc.answerLengths.Observe(run.Route, run.Demand.Answer, run.EventCount()*max(1, svc.model.Model.StepsPerPass))
	}
	if t := svc.runs[run]; t != nil {
		r.recordRunEnd(svc, run, t, end)
		delete(svc.runs, run)
		svc.teams.Own().End(t.team)
		svc.model.AdjustRetryPrefill(t.rereading, run.Demand, -1)
		svc.model.End(t.chain, run.Demand, t.awaitingFirstEvent)
		svc.queue.RecordCompletion(r.now())
		r.admit(svc)
	}
}

// recordRunEnd records what the end of a run says of its request; r.mu is held.
func (r *router) recordRunEnd(svc *serviceState, run *relay.Run, t *runState, end relay.RunEnd) {
	switch {
	case end == relay.RunAnswered && run.EventCount() > 0:
		for n, stage := range t.chain {
			r.openRuns.SetAlive(r.now(), crash.Process{Upstream: stage.Engine(), Incarnation: t.born[n]})
		}
		r.clear(run.Suspects, run.Start)
	case end == relay.RunUnsent:
		r.crashBook.ReturnTrials(r.now(), run.Suspects, r.now()-time.Since(run.Start))
	case end == relay.RunOpen:
		r.keepOpenRun(svc, run, t)
	}
}

// changePath moves the usage of a run to another path; hops are the addresses of its
// engines. router.mu is held.
func (svc *serviceState) changePath(run *relay.Run, chain spec.Chain, hops []site.Hop) {
	t := svc.runs[run]
	if t == nil {
		return
	}
	svc.model.AdjustRetryPrefill(t.rereading, run.Demand, -1)
	t.rereading = nil
	svc.model.End(t.chain, run.Demand, t.awaitingFirstEvent)
	if !t.awaitingFirstEvent {
		t.movedAt, t.joined, t.eventsAtMove = time.Now(), stagesNotIn(chain, t.chain), run.EventCount()
		t.rereading = t.joined
	}
	t.chain, t.born = chain, svc.startTimes(chain)
	svc.model.Begin(chain, run.Demand)
	if !t.awaitingFirstEvent {
		svc.model.PrefillDone(chain, run.Demand)
	}
	svc.model.AdjustRetryPrefill(t.rereading, run.Demand, 1)
	run.SetChain(chain, hops)
}

// stagesNotIn returns the stages of a that are not in b.
func stagesNotIn(a, b spec.Chain) (out spec.Chain) {
	for _, s := range a {
		if !slices.Contains(b, s) {
			out = append(out, s)
		}
	}
	return out
}

// finishReread ends the count of repeated prefill once an event arrived after the path
// of a run changed.
func (svc *serviceState) finishReread(run *relay.Run, t *runState) {
	if len(t.rereading) > 0 && run.LastEvent().After(t.movedAt) {
		svc.model.AdjustRetryPrefill(t.rereading, run.Demand, -1)
		t.rereading = nil
	}
}

// ReportConnFailure reports an engine that refused or broke a connection as suspect.
func (r *router) ReportConnFailure(service string, id spec.UpstreamID) {
	if up, ok := r.upstream(service, id); ok {
		r.onSuspect(up)
	}
}

// ReportBrokenRun reports the first engine of a run as suspect.
func (r *router) ReportBrokenRun(run *relay.Run) {
	chain, _ := run.Chain()
	if up, ok := r.upstream(run.Service, chain[0].Engine()); ok {
		r.onSuspect(up)
	}
}

// upstream returns the row of an engine, or false if it is not listed.
func (r *router) upstream(service string, id spec.UpstreamID) (site.Upstream, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if svc := r.service(service); svc.model != nil {
		return svc.model.Upstream(id)
	}
	return site.Upstream{}, false
}

// RecordRefusal records that an engine refused a run: it is full, leaving, or no
// longer the same engine. It gets no new runs for a while, and a probe finds out
// the cause, unless the engine asked for backoff: then it is alive and wants no probe.
func (r *router) RecordRefusal(run *relay.Run, address string) spec.UpstreamID {
	r.mu.Lock()
	svc := r.service(run.Service)
	id := svc.refusingEngine(run, address)
	up, ok := svc.model.Upstream(id)
	svc.model.RecordRefusal(r.now(), id)
	backoff := r.notices.InBackoff(r.now(), id)
	r.mu.Unlock()
	if ok && !backoff {
		r.onSuspect(up)
	}
	return id
}

// refusingEngine returns the engine of a run's path that refused the run; router.mu is held.
func (svc *serviceState) refusingEngine(run *relay.Run, address string) spec.UpstreamID {
	chain, hops := run.Chain()
	for i, hop := range hops {
		if hop.Address == address && i < len(chain) {
			return chain[i].Engine()
		}
	}
	return chain[0].Engine()
}
