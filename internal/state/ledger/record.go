package ledger

import (
	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/state/store"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"
)

// prefix of the rows that hold records.
const prefix = "call/"

// record is the row of a call. Fields are exported for the codec.
type record struct {
	Sum     uint64 `cbor:"1,keyasint"`
	Attempt string `cbor:"2,keyasint"`
	State   State  `cbor:"3,keyasint"`
	Status  int    `cbor:"4,keyasint,omitempty"`
	Type    string `cbor:"5,keyasint,omitempty"`
	Body    []byte `cbor:"6,keyasint,omitempty"`
	// Owner names the incarnation whose attempt it is.
	Owner string `cbor:"7,keyasint,omitempty"`
	Why   string `cbor:"8,keyasint,omitempty"`
}

func (r record) outcome() Outcome {
	return Outcome{state: r.State, answer: NewAnswer(r.Status, r.Type, r.Body), why: r.Why}
}

// with returns the record at the end that answer and state describe.
func (r record) with(state State, answer Answer, why string) record {
	r.State, r.Why = state, why
	r.Status, r.Type, r.Body = answer.status, answer.kind, answer.body
	return r
}

// put is the write that stores r in the row that has version now.
func (r record) put(key string, version uint64) store.Write {
	data, err := cbor.Marshal(r)
	if err != nil {
		// The record has no field that can fail to encode.
		panic(err)
	}
	return store.Put(key, version, data)
}

func decode(row store.Row) (record, error) {
	var r record
	if err := cbor.Unmarshal(row.Value(), &r); err != nil {
		return r, errors.Wrap(err, "ledger: decode")
	}
	return r, nil
}

func rowKey(team spec.TeamID, class spec.ClassName, key string) string {
	return prefix + string(team) + "/" + string(class) + "/" + key
}
