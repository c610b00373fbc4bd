package engine

import (
	"context"
	"net/http"

	"fulmarwick/internal/base/frame"
	"fulmarwick/internal/base/spec"
)

// Move copies the KV cache of the request and layers of want from one engine
// to another, where it is stored under want.Try. It returns the number of
// positions in the cache.
func (p *Pool) Move(ctx context.Context, from, to spec.UpstreamID, want frame.KV) (int, error) {
	source, err := p.control(from)
	if err != nil {
		return 0, err
	}
	target, err := p.control(to)
	if err != nil {
		return 0, err
	}
	kv, err := source.Export(ctx, want.Req, want.From, want.To)
	if err != nil {
		return 0, err
	}
	kv.Try, kv.Model = want.Try, want.Model
	if err := target.Import(ctx, &kv); err != nil {
		return 0, err
	}
	return kv.Pos, nil
}

func (p *Pool) control(id spec.UpstreamID) (*Control, error) {
	p.init()
	base, _ := p.lookup(id)
	if base == "" {
		return nil, ErrRefused
	}
	client := p.HTTP
	if client == nil {
		client = http.DefaultClient
	}
	return &Control{HTTP: client, Base: base}, nil
}
