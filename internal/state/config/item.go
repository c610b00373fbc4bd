package config

import (
	"time"

	"fulmarwick/internal/base/spec"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"
)

//go:generate stringer -type=Sort -linecomment -output=sort_string.go

// Sort says what a section of a document or a row defines.
type Sort int

// The sorts.
const (
	SortClass   Sort = iota // class
	SortTeam                // team
	SortService             // service
	SortModel               // model
)

// Keys of the rows. Changes are logged outside the prefix that followers read.
const (
	rowPrefix     = "conf/"
	headKey       = "conf/head"
	historyPrefix = "conflog/"
)

// item is one class, team, service or model, as a row holds it. Fields are
// exported for the codec. A removed one stays as a row with Gone set, so that
// those who read only what changed learn of it.
type item struct {
	Sort    Sort   `cbor:"1,keyasint"`
	Name    string `cbor:"2,keyasint"`
	Deleted bool   `cbor:"3,keyasint,omitempty"`

	Kind        spec.Kind     `cbor:"4,keyasint,omitempty"`
	Model       string        `cbor:"5,keyasint,omitempty"`
	Service     string        `cbor:"6,keyasint,omitempty"`
	Repeatable  bool          `cbor:"7,keyasint,omitempty"`
	FirstEvent  time.Duration `cbor:"8,keyasint,omitempty"`
	Gap         time.Duration `cbor:"9,keyasint,omitempty"`
	TotalTime   time.Duration `cbor:"10,keyasint,omitempty"`
	Percent     float64       `cbor:"11,keyasint,omitempty"`
	Reliability float64       `cbor:"12,keyasint,omitempty"`
	Teams       []string      `cbor:"13,keyasint,omitempty"`

	KeyHash   string  `cbor:"14,keyasint,omitempty"`
	Share     float64 `cbor:"15,keyasint,omitempty"`
	RateLimit float64 `cbor:"16,keyasint,omitempty"`

	Outcomes     bool   `cbor:"17,keyasint,omitempty"`
	DefaultClass string `cbor:"18,keyasint,omitempty"`

	// Who made the change that wrote the row, which and when.
	Version  uint64 `cbor:"20,keyasint"`
	ChangeID string `cbor:"21,keyasint"`
	Author   string `cbor:"22,keyasint"`
	At       int64  `cbor:"23,keyasint"`
}

// head is the row that every change writes too, so that changes have one order.
type head struct {
	Version  uint64 `cbor:"1,keyasint"`
	ChangeID string `cbor:"2,keyasint"`
	// Digest is over all other rows; see digestOf.
	Digest uint64 `cbor:"3,keyasint"`
}

func rowKey(s Sort, name string) string { return rowPrefix + s.String() + "/" + name }

func (i *item) key() string { return rowKey(i.Sort, i.Name) }

// sameDefinition reports whether two items define the same, whoever wrote them.
func (i *item) sameDefinition(o *item) bool {
	c := *i
	c.Version, c.ChangeID, c.Author, c.At = o.Version, o.ChangeID, o.Author, o.At
	return string(encode(c)) == string(encode(*o))
}

func (i *item) toTarget() spec.Target {
	return spec.NewTarget(i.FirstEvent, i.Gap, i.TotalTime, i.Percent)
}

func (i *item) toClass() spec.Class {
	if i.Kind == spec.KindPlain {
		return spec.NewPlainClass(spec.ClassName(i.Name), spec.ServiceName(i.Service), i.Repeatable, i.toTarget())
	}
	return spec.NewModelClass(spec.ClassName(i.Name), spec.ModelName(i.Model), i.toTarget())
}

func (i *item) toTeam() spec.Team {
	return spec.NewTeam(spec.TeamID(i.KeyHash), i.Name, i.Share).WithLimit(i.RateLimit)
}

func encode(v any) []byte {
	data, err := cbor.Marshal(v)
	if err != nil {
		// The types of this package have no field that can fail to encode.
		panic(err)
	}
	return data
}

func decodeItem(data []byte) (item, error) {
	var i item
	if err := cbor.Unmarshal(data, &i); err != nil {
		return i, errors.Wrap(ErrBadRows, err.Error())
	}
	return i, nil
}

func decodeHead(data []byte) (head, error) {
	var h head
	if err := cbor.Unmarshal(data, &h); err != nil {
		return h, errors.Wrap(ErrBadRows, err.Error())
	}
	return h, nil
}

// rowDigest is one row's part in the digest of all rows, which is the exclusive
// or of the parts.
func rowDigest(key string, value []byte) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(value)
	return d.Sum64()
}
