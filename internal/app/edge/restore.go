package edge

import (
	"context"
	"time"

	"fulmarwick/internal/route/crash"
	"fulmarwick/internal/state/feed"

	"go.uber.org/zap"
)

const (
	// culpritDuty is the duty of writing what is known of suspects again after the store was
	// restored. All instances know the same.
	culpritDuty = "culprits"
	// maxCulpritWriters is how many instances do so.
	maxCulpritWriters = 2
	// peersTimeout limits how long a started instance waits for the roster, which says whether it
	// needs the tables of others, and for these. They are sent within two rounds of messages, and once
	// more after 600 ms.
	peersTimeout = 1200 * time.Millisecond
)

// isStarting reports whether this instance waits for the tables of others; s.mu is held.
func (s *stateView) isStarting() bool { return s.awaitsPeers && !s.isReady }

// limitStart ends the wait for the tables of others after a time.
func (s *stateView) limitStart(ctx context.Context) {
	if feed.Sleep(ctx, peersTimeout) {
		s.setAwaitsPeers(false)
	}
}

// Starting is isStarting for other goroutines.
func (s *stateView) Starting() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isStarting()
}

// setAwaitsPeers makes an instance that starts wait for the tables of others, or end that wait.
func (s *stateView) setAwaitsPeers(awaits bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.awaitsPeers = awaits
	s.openIfReady()
}

// confirmDigests ends the wait for the tables of others if another instance, which serves, holds the same.
func (s *stateView) confirmDigests(digests map[string]uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.isStarting() {
		return
	}
	for name, v := range s.tables {
		if digest, ok := digests[name]; !ok || digest != v.Checkpoint().Digest {
			return
		}
	}
	s.awaitsPeers = false
	s.openIfReady()
}

// handleStoreEra handles that a call shows a new era of the store.
func (i *Instance) handleStoreEra(era uint64) {
	i.Log.Warn("edge: store was restored from an older copy", zap.Uint64("era", era))
	i.rewriteStored()
}

// rewriteStored has written again what instances keep in the store, which may have lost it. The planning
// lease is acquired anew by its holder.
func (i *Instance) rewriteStored() {
	i.mesh.rosterInDoubt.Store(true)
	if i.mesh.logic.DutyRank(culpritDuty) < maxCulpritWriters {
		go i.rewriteCulprits()
	}
}

// rewriteCulprits stores the suspects again that are quarantined or held to crash upstreams. A row that the
// store still has is changed only if it is less strict.
func (i *Instance) rewriteCulprits() {
	for _, e := range i.router.knownCrashes() {
		age := time.Duration(e.AgeMs) * time.Millisecond
		switch e.Kind {
		case crash.EventQuarantine:
			i.culprits.add(e.Key(), crash.StandingQuarantined, time.Now().Add(-age))
		case crash.EventVerdict:
			i.culprits.add(e.Key(), crash.StandingCulprit, time.Now().Add(-age))
		}
	}
}

// knownCrashes returns what is known of suspects.
func (r *router) knownCrashes() []crash.Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.crashBook.Known(r.now())
}
