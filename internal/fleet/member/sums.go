package member

import (
	"encoding/binary"
	"math"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/fleet/proto"

	"github.com/cespare/xxhash/v2"
)

// ChecksumBuckets is how many checksums stand for the whole table. Two tables differ
// in few records, so only the buckets that differ are sent.
const ChecksumBuckets = 16

const checksumBytes = 4

func bucketOf(id spec.InstanceID) int { return int(xxhash.Sum64String(string(id)) % ChecksumBuckets) }

// recordChecksum is the part of a record in its bucket's checksum. The dead have none, so
// that instances which forgot them at different times do not differ.
func recordChecksum(r *proto.Record) uint32 {
	if !isLive(r) {
		return 0
	}
	return r.Checksum()
}

// Checksums returns the checksums of the table.
func (t *Table) Checksums() []byte {
	out := make([]byte, 0, ChecksumBuckets*checksumBytes)
	for _, s := range t.checksums {
		out = binary.BigEndian.AppendUint32(out, s)
	}
	return out
}

// DifferingRecords returns the records of the buckets whose checksum is not the one in
// sums, as many whole buckets as fit into limit bytes but at least one. Whole
// is false if some did not fit. Start says at which bucket to begin: records
// that are sent again and again must not keep out the rest.
func (t *Table) DifferingRecords(sums []byte, limit, start int) (out []proto.Record, whole bool) {
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

// suspicionTimeout is how long a suspect has when so many instances suspect it. It
// falls with the logarithm of their number, as in Lifeguard.
func (t *Table) suspicionTimeout(suspecting int) time.Duration {
	need := min(MaxConfirmations, t.centreLiveCount()-2)
	if need <= 0 || suspecting > need {
		return MinSuspicionTimeout
	}
	part := math.Log(float64(suspecting)) / math.Log(float64(need+1))
	return MaxSuspicionTimeout - time.Duration(part*float64(MaxSuspicionTimeout-MinSuspicionTimeout))
}

// centreLiveCount counts the live instances of the own data centre.
func (t *Table) centreLiveCount() int {
	n := 0
	for _, r := range t.rows {
		if isLive(&r.record) && r.record.DataCentre == t.Local.DataCentre {
			n++
		}
	}
	return n
}
