package spec

import "strconv"

// Revision is a position in the history of the store, in one order: first by the store's era, then by
// the version within it. A store that is restored from a copy begins a new era, in which it gives out
// versions again. The zero value precedes all others.
type Revision uint64

// versionBits is how many bits the version takes: enough for 5,000 transactions a second for a
// hundred years. The era takes the rest.
const versionBits = 44

// NewRevision returns the revision of a version in an era.
func NewRevision(era, version uint64) Revision {
	return Revision(era<<versionBits | version&(1<<versionBits-1))
}

// Era returns the era of the store.
func (r Revision) Era() uint64 { return uint64(r >> versionBits) }

// Version returns the version within the era.
func (r Revision) Version() uint64 { return uint64(r) & (1<<versionBits - 1) }

// String returns the era and the version, or the version alone in era 0.
func (r Revision) String() string {
	version := strconv.FormatUint(r.Version(), 10)
	if r.Era() == 0 {
		return version
	}
	return strconv.FormatUint(r.Era(), 10) + "." + version
}
