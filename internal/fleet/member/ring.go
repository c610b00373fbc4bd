package member

import (
	"fmt"
	"slices"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/fleet/proto"
	"fulmarwick/internal/fleet/rank"
)

// RingCount is how many instances each one watches, and by how many each is
// watched, however large its data centre is.
const RingCount = 4

// Neighbours returns the instances that the own one watches: its successor on
// each of Rings hash rings of its data centre, or all if there are no more.
// The rings make a graph in which news reach all in a few steps and no
// instance has more than a handful of connections.
func (t *Table) Neighbours() []spec.InstanceID {
	ids := t.LiveMembers(func(r proto.Record) bool {
		return r.DataCentre == t.Local.DataCentre && r.ID != t.Local.ID
	})
	if len(ids) <= RingCount {
		return ids
	}
	var out []spec.InstanceID
	for ring := range RingCount {
		out = append(out, t.successor(fmt.Sprintf("ring/%d", ring), ids, out))
	}
	slices.Sort(out)
	return out
}

// successor is the next of ids after the own instance on a ring, passing over
// those taken already.
func (t *Table) successor(ring string, ids, taken []spec.InstanceID) spec.InstanceID {
	own := rank.Score(ring, t.Local.ID)
	var best spec.InstanceID
	var least uint64
	for _, id := range ids {
		if slices.Contains(taken, id) {
			continue
		}
		// Unsigned subtraction is the way round the ring.
		if way := rank.Score(ring, id) - own; best == "" || way < least {
			best, least = id, way
		}
	}
	return best
}

// LiveMembers returns the live instances that f accepts, in order of ID.
func (t *Table) LiveMembers(f func(proto.Record) bool) []spec.InstanceID {
	var out []spec.InstanceID
	for _, r := range t.rows {
		if isLive(&r.record) && f(r.record) {
			out = append(out, r.record.ID)
		}
	}
	return out
}
