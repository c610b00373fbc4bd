package news

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"
)

// ErrInvalidBody means that an item's body is not of its kind.
var ErrInvalidBody = errors.New("news: not a body of the kind")

// Make returns an item with the body encoded. Life is in milliseconds.
func Make(kind Kind, key string, scope Scope, life int64, body any) (Item, error) {
	data, err := cbor.Marshal(body)
	if err != nil {
		return Item{}, errors.Wrap(ErrInvalidBody, err.Error())
	}
	return Item{Kind: kind, Key: key, Scope: scope, Life: life, Body: data}, nil
}

// Decode reads the body of an item into the struct of its kind.
func Decode(item Item, into any) error {
	if err := cbor.Unmarshal(item.Body, into); err != nil {
		return errors.Wrap(ErrInvalidBody, err.Error())
	}
	return nil
}
