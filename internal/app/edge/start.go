package edge

import (
	"context"
	"time"

	"fulmarwick/internal/state/feed"
)

// peersTimeout limits how long a started instance waits for the roster, which says whether it needs
// the tables of others, and for these. They are sent within two rounds of messages, and once more after
// 600 ms.
const peersTimeout = 1200 * time.Millisecond

// isStarting is Starting with s.mu held.
func (s *stateView) isStarting() bool { return s.awaitsPeers && !s.isReady }

// limitStart ends the wait for the tables of others after a time.
func (s *stateView) limitStart(ctx context.Context) {
	if feed.Sleep(ctx, peersTimeout) {
		s.endStart()
	}
}

// Starting reports whether this instance waits for the tables of others before it serves.
func (s *stateView) Starting() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isStarting()
}

// endStart ends the wait for the tables of others.
func (s *stateView) endStart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.awaitsPeers = false
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
