package member

import (
	"encoding/binary"
	"math"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/fleet/talk"

	"github.com/cespare/xxhash/v2"
)

// Buckets is how many checksums stand for the whole table. Two tables differ
// in few records, so only the buckets that differ are sent.
const Buckets = 16

const sumBytes = 4

func bucket(id spec.InstanceID) int { return int(xxhash.Sum64String(string(id)) % Buckets) }

// sum is the part of a record in its bucket's checksum. The dead have none, so
// that instances which forgot them at different times do not differ.
func sum(r *talk.Record) uint32 {
	if !live(r) {
		return 0
	}
	return r.Sum()
}

// Sums returns the checksums of the table.
func (t *Table) Sums() []byte {
	out := make([]byte, 0, Buckets*sumBytes)
	for _, s := range t.sums {
		out = binary.BigEndian.AppendUint32(out, s)
	}
	return out
}

// Differ returns the records of the buckets whose checksum is not the one in
// sums, as many whole buckets as fit into limit bytes but at least one. Whole
// is false if some did not fit. Start says at which bucket to begin: records
// that are sent again and again must not keep out the rest.
func (t *Table) Differ(sums []byte, limit, start int) (out []talk.Record, whole bool) {
	if len(sums) != Buckets*sumBytes {
		return nil, true
	}
	for i := range Buckets {
		b := (i + start) % Buckets
		if binary.BigEndian.Uint32(sums[b*sumBytes:]) == t.sums[b] {
			continue
		}
		if limit <= 0 {
			return out, false
		}
		for _, r := range t.rows {
			if bucket(r.rec.ID) == b {
				limit -= r.rec.Bytes()
				out = append(out, r.rec)
			}
		}
	}
	return out, true
}

// patience is how long a suspect has when so many instances suspect it. It
// falls with the logarithm of their number, as in Lifeguard.
func (t *Table) patience(suspecting int) time.Duration {
	need := min(Confirms, t.liveCount()-2)
	if need <= 0 || suspecting > need {
		return SuspectMin
	}
	part := math.Log(float64(suspecting)) / math.Log(float64(need+1))
	return SuspectMax - time.Duration(part*float64(SuspectMax-SuspectMin))
}

// liveCount counts the live instances of the own data centre.
func (t *Table) liveCount() int {
	n := 0
	for _, r := range t.rows {
		if live(&r.rec) && r.rec.DataCentre == t.Self.DataCentre {
			n++
		}
	}
	return n
}
