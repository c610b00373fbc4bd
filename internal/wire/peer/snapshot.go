package peer

import (
	"context"

	"fulmarwick/internal/base/spec"

	"github.com/go-faster/errors"
)

// maxSnapshot bounds a configuration snapshot, in bytes.
const maxSnapshot = 64 << 20

// Snapshot asks an instance for the configuration that it has in force. It
// returns ErrRefused if that one has none, and ErrBroken if the answer was
// cut.
func (h *Hub) Snapshot(ctx context.Context, from spec.InstanceID) ([]byte, error) {
	h.init()
	c, err := h.connect(ctx, from)
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
				return nil, errors.Wrap(ErrRefused, "no snapshot there")
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

// serveSnapshot answers with the own snapshot in pieces.
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
