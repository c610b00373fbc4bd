package config

import (
	"context"

	"github.com/go-faster/errors"
)

// askPeers takes the newest snapshot of the peers while the table is out, if
// this instance has nothing or has heard of something newer.
func (f *Follower) askPeers(ctx context.Context, cause error) error {
	f.mu.Lock()
	enough := f.state != nil && f.state.head.Version >= f.hint
	f.mu.Unlock()
	if f.Peers == nil || enough {
		return cause
	}
	all, err := f.Peers.Snapshots(ctx)
	if err != nil {
		return errors.Wrap(cause, err.Error())
	}
	for _, data := range all {
		if err := f.TakePeer(data); err != nil {
			cause = errors.Wrap(cause, err.Error())
		}
	}
	return cause
}

// TakePeer takes a snapshot that another instance encoded, unless it is older
// than what is in force here.
func (f *Follower) TakePeer(data []byte) error {
	s, err := DecodeSnapshot(data)
	if err != nil {
		return err
	}
	f.take(s.state)
	return nil
}
