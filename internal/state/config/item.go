package config

import (
	"time"

	"fulmarwick/internal/base/spec"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"
)

//go:generate stringer -type=ItemKind -linecomment -output=itemkind_string.go

// ItemKind is the kind of item that a document section or a row defines.
type ItemKind int

// The kinds of item.
const (
	ItemClass   ItemKind = iota // class
	ItemTeam                    // team
	ItemService                 // service
	ItemModel                   // model
)

// The keys of the rows. The history is outside the prefix that followers read.
const (
	rowPrefix     = "conf/"
	headKey       = "conf/head"
	historyPrefix = "conflog/"
)

// item is one class, team, service or model, as stored in a row. Fields are exported
// for the codec. The row of a removed item is kept with Deleted set, so that followers
// that read only changed rows see the removal.
type item struct {
	Sort    ItemKind `cbor:"1,keyasint"`
	Name    string   `cbor:"2,keyasint"`
	Deleted bool     `cbor:"3,keyasint,omitempty"`

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

	// The version, ID, author and time of the change that wrote the row.
	Version  uint64 `cbor:"20,keyasint"`
	ChangeID string `cbor:"21,keyasint"`
	Author   string `cbor:"22,keyasint"`
	At       int64  `cbor:"23,keyasint"`
}

// head is the row that every change writes, so that all changes are ordered.
type head struct {
	Version  uint64 `cbor:"1,keyasint"`
	ChangeID string `cbor:"2,keyasint"`
	// Digest is the digest of all other rows; see rowDigest.
	Digest uint64 `cbor:"3,keyasint"`
}

func rowKey(s ItemKind, name string) string { return rowPrefix + s.String() + "/" + name }

func (i *item) key() string { return rowKey(i.Sort, i.Name) }

// sameDefinition reports whether two items have the same definition, regardless of the
// changes that wrote them.
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
		// Encoding cannot fail for any type of this package.
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

// rowDigest returns the digest of one row. The digest of all rows is the exclusive or
// of their digests.
func rowDigest(key string, value []byte) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(value)
	return d.Sum64()
}
