package peer

import (
	"context"

	"fulmarwick/internal/base/spec"

	"github.com/go-faster/errors"
)

// maxSnapshot limits the size of a configuration snapshot in bytes.
const maxSnapshot = 64 << 20

// Snapshot requests the configuration in force from another instance. It
// returns ErrRefused if that instance has none, and ErrBroken if the answer was
// interrupted.
func (h *Hub) Snapshot(ctx context.Context, from spec.InstanceID) ([]byte, error) {
	h.init()
	c, err := h.connect(ctx, from, "")
	if err != nil {
		return nil, err
	}
	s := c.openStream()
	if s == nil {
		return nil, errors.Wrap(ErrRefused, "connection closed")
	}
	complete := false
	defer func() { s.close(complete) }()
	if err := c.enqueue(ctx, &frame{Kind: kindSnapshotRequest, ID: s.id}); err != nil {
		return nil, err
	}
	data, err := s.readSnapshot(ctx)
	complete = err == nil
	return data, err
}

func (s *outStream) readSnapshot(ctx context.Context) ([]byte, error) {
	var out []byte
	for {
		frames, err := s.next(ctx)
		if err != nil {
			return nil, err
		}
		for _, f := range frames {
			if f.Kind == kindEnd {
				return nil, errors.Wrap(ErrRefused, "no snapshot available")
			}
			out = append(out, f.Data...)
			if len(out) > maxSnapshot {
				return nil, errors.Wrap(ErrFrame, "snapshot too large")
			}
			if f.Last {
				return out, nil
			}
		}
	}
}

// serveSnapshot sends the snapshot of this instance in chunks.
func (c *conn) serveSnapshot(id uint64) {
	var data []byte
	if c.hub.Config != nil {
		data = c.hub.Config.Snapshot()
	}
	if len(data) == 0 {
		c.reply(&frame{Kind: kindEnd, ID: id, End: &End{Fault: &Fault{Code: "no-snapshot", Ran: "no"}}})
		return
	}
	c.hub.start(func() {
		for begin := 0; begin < len(data); begin += snapshotChunk {
			end := min(begin+snapshotChunk, len(data))
			f := &frame{Kind: kindSnapshot, ID: id, Data: data[begin:end], Last: end == len(data)}
			if err := c.enqueue(c.hub.ctx, f); err != nil {
				return
			}
		}
	})
}
