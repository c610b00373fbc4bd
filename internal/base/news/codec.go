package news

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"
)

// ErrInvalidBody is returned for an item body that doesn't match the item's kind.
var ErrInvalidBody = errors.New("news: body does not match the item kind")

// New returns an item with the encoded body. The time to live is in milliseconds.
func New(kind Kind, key string, scope Scope, ttl int64, body any) (Item, error) {
	data, err := cbor.Marshal(body)
	if err != nil {
		return Item{}, errors.Wrap(ErrInvalidBody, err.Error())
	}
	return Item{Kind: kind, Key: key, Scope: scope, TTL: ttl, Body: data}, nil
}

// Decode decodes the body of an item into a pointer to the struct for its kind.
func Decode(item Item, into any) error {
	if err := cbor.Unmarshal(item.Body, into); err != nil {
		return errors.Wrap(ErrInvalidBody, err.Error())
	}
	return nil
}
