package mesh

import (
	"bytes"
	"compress/flate"
	"io"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/state/feed"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"
)

const (
	// minPackedBytes is the size of rows below which packing costs more processor time than it saves
	// time on a slow link.
	minPackedBytes = 16 << 10
	// maxUnpackedBytes limits what packed rows may expand to.
	maxUnpackedBytes = 32 << 20
)

// errPacked means that packed rows can't be read.
var errPacked = errors.New("mesh: bad packed rows")

// packedRows are the packed rows of a table between two versions.
type packedRows struct {
	since, version spec.Revision
	digest         uint64
	data           []byte
}

// pack compresses the rows of a table if they are large. The instances of a cell mostly need the same
// rows, which are compressed once.
func (l *Logic) pack(t *Table) {
	size := 0
	for _, r := range t.Rows {
		size += len(r.Value)
	}
	if size < minPackedBytes {
		return
	}
	cached := l.packed[t.Name]
	if cached.data == nil || cached.since != t.Since || cached.version != t.Version || cached.digest != t.Digest {
		cached = packedRows{since: t.Since, version: t.Version, digest: t.Digest, data: compress(t.Rows)}
		if l.packed == nil {
			l.packed = map[string]packedRows{}
		}
		l.packed[t.Name] = cached
	}
	t.Rows, t.Packed = nil, cached.data
}

func compress(rows []feed.Row) []byte {
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err == nil {
		err = cbor.NewEncoder(w).Encode(rows)
	}
	if err == nil {
		err = w.Close()
	}
	if err != nil {
		// Neither the rows nor a buffer in memory can fail.
		panic(err)
	}
	return b.Bytes()
}

// unpack restores the rows of a table that were packed.
func (t *Table) unpack() error {
	if len(t.Packed) == 0 {
		return nil
	}
	data, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(t.Packed)), maxUnpackedBytes+1))
	if err != nil {
		return errors.Wrap(errPacked, err.Error())
	}
	if len(data) > maxUnpackedBytes {
		return errors.Wrapf(errPacked, "table %s: more than %d bytes", t.Name, maxUnpackedBytes)
	}
	if err := cbor.Unmarshal(data, &t.Rows); err != nil {
		return errors.Wrap(errPacked, err.Error())
	}
	t.Packed = nil
	return nil
}
