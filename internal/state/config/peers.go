package config

import (
	"context"

	"github.com/go-faster/errors"
)

// fetchFromPeers activates the newest snapshot of the peers while the table is
// unavailable, if this instance has no configuration or knows of a newer version. It
// returns cause, with the errors of the peers.
func (f *Follower) fetchFromPeers(ctx context.Context, cause error) error {
	f.mu.Lock()
	upToDate := f.state != nil && f.state.head.Version >= f.highestSeen
	f.mu.Unlock()
	if f.Peers == nil || upToDate {
		return cause
	}
	all, err := f.Peers.Snapshots(ctx)
	if err != nil {
		return errors.Wrap(cause, err.Error())
	}
	for _, data := range all {
		if err := f.ApplyPeerSnapshot(data); err != nil {
			cause = errors.Wrap(cause, err.Error())
		}
	}
	return cause
}

// ApplyPeerSnapshot activates a snapshot that another instance encoded, unless the
// active version is at least as high.
func (f *Follower) ApplyPeerSnapshot(data []byte) error {
	s, err := DecodeSnapshot(data)
	if err != nil {
		return err
	}
	f.activate(s.state)
	return nil
}
