package edge

import (
	"context"
	"strconv"
	"time"

	"fulmarwick/internal/route/crash"

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

// reportRestrictions keeps what is known of suspects for the other instances: one of them has
// joined, and may have been started or cut off when it was reported.
func (r *router) reportRestrictions() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.restrictionsDue = true
}

// applyCrash records an event and reports whether it is news. A restriction that follows from a
// crash is reported by the instances that sent the request; r.mu is held.
func (r *router) applyCrash(c crash.Event) bool {
	now := r.now()
	before := r.crashBook.Standing(now, c.Fingerprint)
	news := r.crashBook.Record(now, c)
	after := r.crashBook.Standing(now, c.Fingerprint)
	r.onCrash(c, crashCount{
		isNews: news, ended: r.crashBook.EndedCount(now, c.Fingerprint), causes: r.crashBook.Count(now, c.Fingerprint), standing: after,
	})
	if after > before && c.Kind == crash.EventCrash && r.crashBook.IsOwn(now, c.Fingerprint) {
		r.unreportedCrashes = append(r.unreportedCrashes, r.crashBook.Restriction(now, c.Fingerprint))
		r.onRestriction(c.Fingerprint, after)
	}
	return news
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
	if r.restrictionsDue {
		r.restrictionsDue = false
		out = append(out, r.crashBook.Known(r.now())...)
	}
	return out
}

// applyPeerCrashes records events that another instance reported.
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

// AllowSend returns why a request must not be sent now, or nil. For a quarantined request it
// asks for a trial.
func (r *router) AllowSend(ctx context.Context, fingerprint uint64) error {
	if needsTrial, err := r.checkSend(fingerprint); !needsTrial {
		return err
	}
	granted := r.takeTrial(ctx, fingerprint)
	r.mu.Lock()
	defer r.mu.Unlock()
	if granted {
		r.crashBook.GrantTrial(r.now(), fingerprint)
	}
	return r.crashBook.Check(r.now(), fingerprint)
}

func (r *router) checkSend(fingerprint uint64) (needsTrial bool, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.crashBook.NeedsTrial(r.now(), fingerprint), r.crashBook.Check(r.now(), fingerprint)
}

// Clear removes the suspicion from a request that was answered by a run that began at a time.
// If it was restricted, the other instances learn of it.
func (r *router) Clear(fingerprint uint64, began time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	age := time.Since(began)
	if r.crashBook.Clear(r.now(), fingerprint, r.now()-age) {
		r.unreportedCrashes = append(r.unreportedCrashes, crash.Event{Fingerprint: fingerprint, Kind: crash.EventClearance, AgeMs: age.Milliseconds()})
		r.onRestriction(fingerprint, crash.StandingFree)
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
	i.Log.Info("edge: upstream crashed under a request", zap.String("fingerprint", formatFingerprint(c.Fingerprint)), zap.Strings("parts", formatFingerprints(c.Parts)), zap.Stringer("event", c.Kind),
		zap.String("upstream", string(c.Upstream)), zap.Int64("incarnation", c.Incarnation), zap.Int64("ran ms", c.RanMs),
		zap.Bool("counted", count.isNews), zap.Int("ended", count.ended), zap.Int("crashes", count.causes), zap.Stringer("standing", count.standing))
}
