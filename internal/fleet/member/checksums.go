package member

import (
	"encoding/binary"
	"math"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/fleet/proto"

	"github.com/cespare/xxhash/v2"
)

// ChecksumBuckets is the number of checksums over the table. Two tables
// usually differ in few records, so only the records of the buckets that
// differ are sent.
const ChecksumBuckets = 16

const checksumBytes = 4

func bucketOf(id spec.InstanceID) int { return int(xxhash.Sum64String(string(id)) % ChecksumBuckets) }

// recordChecksum returns the contribution of a record to the checksum of its
// bucket. Dead members contribute nothing, so that tables do not differ when
// instances drop them at different times.
func recordChecksum(r *proto.Record) uint32 {
	if !isLive(r) {
		return 0
	}
	return r.Checksum()
}

// Checksums returns the checksums of all buckets.
func (t *Table) Checksums() []byte {
	out := make([]byte, 0, ChecksumBuckets*checksumBytes)
	for _, s := range t.checksums {
		out = binary.BigEndian.AppendUint32(out, s)
	}
	return out
}

// DifferingRecords returns the records of the buckets whose checksum differs
// from that in sums: as many whole buckets as fit into limit bytes, but at
// least one. It returns complete as false if some did not fit. The search
// begins at bucket start, so that records that are sent again and again do not
// block the rest.
func (t *Table) DifferingRecords(sums []byte, limit, start int) (out []proto.Record, complete bool) {
	if len(sums) != ChecksumBuckets*checksumBytes {
		return nil, true
	}
	for i := range ChecksumBuckets {
		b := (i + start) % ChecksumBuckets
		if binary.BigEndian.Uint32(sums[b*checksumBytes:]) == t.checksums[b] {
			continue
		}
		if limit <= 0 {
			return out, false
		}
		for _, r := range t.rows {
			if bucketOf(r.record.ID) == b {
				limit -= r.record.Bytes()
				out = append(out, r.record)
			}
		}
	}
	return out, true
}

// suspicionTimeout returns how long a suspect has to refute the suspicion of
// the given number of instances. The time falls with the logarithm of that
// number, as in Lifeguard.
func (t *Table) suspicionTimeout(suspecting int) time.Duration {
	needed := min(MaxConfirmations, t.centreLiveCount()-2)
	if needed <= 0 || suspecting > needed {
		return MinSuspicionTimeout
	}
	fraction := math.Log(float64(suspecting)) / math.Log(float64(needed+1))
	return MaxSuspicionTimeout - time.Duration(fraction*float64(MaxSuspicionTimeout-MinSuspicionTimeout))
}

// centreLiveCount counts the live instances of the local data centre.
func (t *Table) centreLiveCount() int {
	n := 0
	for _, r := range t.rows {
		if isLive(&r.record) && r.record.DataCentre == t.Local.DataCentre {
			n++
		}
	}
	return n
}
