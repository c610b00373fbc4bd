// Package rank assigns keys to instances by rendezvous hashing: each key ranks all
// instance IDs by a hash of both. One instance more or less moves only the keys that it
// wins or held, about 1/n of them.
//
// It imports base/spec and the hash library. The other packages of the fleet call it.
package rank

import (
	"cmp"
	"slices"

	"fulmarwick/internal/base/spec"

	"github.com/cespare/xxhash/v2"
)

// Score returns the weight of id for key; the highest wins.
func Score(key string, id spec.InstanceID) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(string(id))
	return d.Sum64()
}

// Top returns the n best IDs for key, best first; fewer if there are fewer.
func Top(key string, ids []spec.InstanceID, n int) []spec.InstanceID {
	best := make([]scored, 0, n+1)
	for _, id := range ids {
		s := scored{id: id, score: Score(key, id)}
		index, _ := slices.BinarySearchFunc(best, s, compareScored)
		if index == n {
			continue
		}
		best = slices.Insert(best, index, s)
		best = best[:min(len(best), n)]
	}
	out := make([]spec.InstanceID, len(best))
	for i, b := range best {
		out[i] = b.id
	}
	return out
}

// IsFirst reports whether id is the best ID for key.
func IsFirst(key string, ids []spec.InstanceID, id spec.InstanceID) bool {
	top := Top(key, ids, 1)
	return len(top) == 1 && top[0] == id
}

type scored struct {
	id    spec.InstanceID
	score uint64
}

func compareScored(a, b scored) int {
	if a.score != b.score {
		return cmp.Compare(b.score, a.score)
	}
	return cmp.Compare(a.id, b.id)
}
