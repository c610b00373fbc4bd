package config

import (
	"context"

	"github.com/go-faster/errors"
)

// fetchFromPeers takes the newest snapshot of the peers while the table is out, if
// this instance has nothing or has heard of something newer.
func (f *Follower) fetchFromPeers(ctx context.Context, cause error) error {
	f.mu.Lock()
	enough := f.state != nil && f.state.head.Version >= f.highestSeen
	f.mu.Unlock()
	if f.Peers == nil || enough {
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

// ApplyPeerSnapshot takes a snapshot that another instance encoded, unless it is older
// than what is in force here.
func (f *Follower) ApplyPeerSnapshot(data []byte) error {
	s, err := DecodeSnapshot(data)
	if err != nil {
		return err
	}
	f.activate(s.state)
	return nil
}
