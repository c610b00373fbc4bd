package proto

import (
	"encoding/binary"

	"fulmarwick/internal/base/news"
	"fulmarwick/internal/base/spec"

	"github.com/cespare/xxhash/v2"
)

func hashString(s string) uint64 { return xxhash.Sum64String(s) }

// StreamHash names a stream in a Mark. Two of a few hundred streams share a
// hash about once in a hundred thousand fleets; the marks of both are then
// left out of digests and their items spread by pushes alone.
func StreamHash(origin spec.InstanceID, born uint32, scope news.Scope) uint32 {
	var tail [5]byte
	binary.BigEndian.PutUint32(tail[:4], born)
	tail[4] = byte(scope)
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(string(origin))
	_, _ = d.Write(tail[:])
	return uint32(d.Sum64())
}

// Checksum is the checksum of a record in the sums of a member table. The
// suspicions of different instances count as one: they differ for a while and
// need no repair.
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
