package proto

import (
	"encoding/binary"

	"fulmarwick/internal/base/news"
	"fulmarwick/internal/base/spec"

	"github.com/cespare/xxhash/v2"
)

func hashString(s string) uint64 { return xxhash.Sum64String(s) }

// StreamHash identifies a stream in a Watermark. Two of a few hundred streams
// share a hash in about one of a hundred thousand fleets. The watermarks of
// both are then left out of digests, and their items spread only by pushes.
func StreamHash(origin spec.InstanceID, startTime uint32, scope news.Scope) uint32 {
	var tail [5]byte
	binary.BigEndian.PutUint32(tail[:4], startTime)
	tail[4] = byte(scope)
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(string(origin))
	_, _ = d.Write(tail[:])
	return uint32(d.Sum64())
}

// Checksum returns the contribution of a record to the checksums of a member
// table. It ignores which instance suspects: such differences between tables
// are temporary and need no repair.
func (r *Record) Checksum() uint32 {
	var tail [10]byte
	binary.BigEndian.PutUint32(tail[:4], r.StartTime)
	binary.BigEndian.PutUint32(tail[4:8], r.Incarnation)
	tail[8] = byte(r.State)
	if r.Passive {
		tail[9] = 1
	}
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(string(r.ID))
	_, _ = d.Write(tail[:])
	return uint32(d.Sum64())
}
