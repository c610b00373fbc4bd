package ledger

import (
	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/state/store"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"
)

// rowPrefix is the key prefix of the rows that hold records.
const rowPrefix = "call/"

// record is the stored record of a call. Fields are exported for the codec.
type record struct {
	BodyHash    uint64 `cbor:"1,keyasint"`
	Attempt     string `cbor:"2,keyasint"`
	State       State  `cbor:"3,keyasint"`
	Status      int    `cbor:"4,keyasint,omitempty"`
	ContentType string `cbor:"5,keyasint,omitempty"`
	Body        []byte `cbor:"6,keyasint,omitempty"`
	// Owner is the name of the incarnation that runs the attempt.
	Owner  string `cbor:"7,keyasint,omitempty"`
	Reason string `cbor:"8,keyasint,omitempty"`
}

func (r record) outcome() Outcome {
	return Outcome{state: r.State, answer: NewAnswer(r.Status, r.ContentType, r.Body), reason: r.Reason}
}

// withState returns the record with another state, answer and reason.
func (r record) withState(state State, answer Answer, reason string) record {
	r.State, r.Reason = state, reason
	r.Status, r.ContentType, r.Body = answer.status, answer.contentType, answer.body
	return r
}

// toWrite returns the write that stores r on the condition that the row has the
// version.
func (r record) toWrite(key string, version uint64) store.Write {
	data, err := cbor.Marshal(r)
	if err != nil {
		// Encoding cannot fail for any field of record.
		panic(err)
	}
	return store.Put(key, version, data)
}

func decodeRecord(row store.Row) (record, error) {
	var r record
	if err := cbor.Unmarshal(row.Value(), &r); err != nil {
		return r, errors.Wrap(err, "ledger: decode")
	}
	return r, nil
}

func rowKey(team spec.TeamID, class spec.ClassName, key string) string {
	return rowPrefix + string(team) + "/" + string(class) + "/" + key
}
