package member

import (
	"fmt"
	"slices"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/fleet/proto"
	"fulmarwick/internal/fleet/rank"
)

// RingCount is how many instances each instance watches, and by how many it is
// watched, regardless of the size of the data centre.
const RingCount = 4

// Neighbours returns the instances that this one watches: its successor on
// each of RingCount hash rings of its data centre, or all instances there if
// there are no more than RingCount. The rings form a graph in which items
// reach all instances in a few steps and no instance has more than a handful
// of connections.
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

// successor returns the next of ids after this instance on a ring, skipping
// those in taken.
func (t *Table) successor(ring string, ids, taken []spec.InstanceID) spec.InstanceID {
	localScore := rank.Score(ring, t.Local.ID)
	var next spec.InstanceID
	var minDistance uint64
	for _, id := range ids {
		if slices.Contains(taken, id) {
			continue
		}
		// Unsigned subtraction gives the distance around the ring.
		if distance := rank.Score(ring, id) - localScore; next == "" || distance < minDistance {
			next, minDistance = id, distance
		}
	}
	return next
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
