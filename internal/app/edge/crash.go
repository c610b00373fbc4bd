package edge

import (
	"strconv"

	"fulmarwick/internal/route/crash"

	"go.uber.org/zap"
)

// recordCrash records a crash against the request that the upstream ran for this instance, and
// keeps it for the other instances if it is new; r.mu is held.
func (r *router) recordCrash(c crash.Event) {
	c.Own = true
	if r.applyCrash(c) {
		r.unreportedCrashes = append(r.unreportedCrashes, c)
	}
}

// reportVerdicts keeps all verdicts for the other instances: one of them has joined, and may
// have been started or cut off when they were reported.
func (r *router) reportVerdicts() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.verdictsDue = true
}

// applyCrash records a crash and reports whether it counts. A verdict that follows from it is
// reported by the instances that sent the request; r.mu is held.
func (r *router) applyCrash(c crash.Event) bool {
	known := r.crashBook.IsCulprit(r.now(), c.Fingerprint)
	counted := r.crashBook.Record(r.now(), c)
	r.onCrash(c, counted, r.crashBook.Count(r.now(), c.Fingerprint))
	if !known && !c.IsVerdict && r.crashBook.IsOwnCulprit(r.now(), c.Fingerprint) {
		r.unreportedCrashes = append(r.unreportedCrashes, crash.Event{Fingerprint: c.Fingerprint, IsVerdict: true})
		r.onVerdict(c.Fingerprint)
	}
	return counted
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
	if r.verdictsDue {
		r.verdictsDue = false
		out = append(out, r.crashBook.Verdicts(r.now())...)
	}
	return out
}

// applyPeerCrashes records crashes that another instance reported.
func (r *router) applyPeerCrashes(crashes []crash.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range crashes {
		r.applyCrash(c)
	}
}

// IsCulprit reports whether the request with a fingerprint is held to crash upstreams.
func (r *router) IsCulprit(fingerprint uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.crashBook.IsCulprit(r.now(), fingerprint)
}

// Clear removes the suspicion from a request that was answered.
func (r *router) Clear(fingerprint uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.crashBook.Clear(fingerprint)
}

// logCrash counts a crash of an upstream under a request. It logs the crash unless it is
// the first one of the request: most requests on a crashed upstream have no part in it.
func (i *Instance) logCrash(c crash.Event, counted bool, crashes int) {
	i.meters.GetOrCreateCounter(`fulmarwick_crashes_total{counted="` + strconv.FormatBool(counted) + `"}`).Inc()
	if counted && crashes == 1 || c.IsVerdict && !counted {
		return
	}
	i.Log.Info("edge: upstream crashed under a request", zap.String("fingerprint", formatFingerprint(c.Fingerprint)), zap.String("upstream", string(c.Upstream)),
		zap.Int64("incarnation", c.Incarnation), zap.Int64("ran ms", c.RanMs), zap.Bool("counted", counted), zap.Int("crashes", crashes), zap.Bool("verdict", c.IsVerdict))
}
