// Package engine is the client of model engines. It sends steps over one
// multiplexed WebSocket per engine and makes the JSON control calls.
//
// It imports base and route/domain. Package chain opens streams on a Pool;
// package watch reads reports and cache events; package order sends load
// orders.
package engine

import "github.com/go-faster/errors"

// Errors of this package.
var (
	// ErrRefused means that the engine could not be reached or refused the
	// call. On opening a stream it means that nothing ran.
	ErrRefused = errors.New("engine: refused")
	// ErrBroken means that the connection broke. Steps that were sent may have
	// run.
	ErrBroken = errors.New("engine: connection broken")
	// ErrTimeout means that no reply came in time. The step may have run, or
	// may still run.
	ErrTimeout = errors.New("engine: reply timed out")
	// ErrOverflow means that the reader of the stream was too slow and replies
	// were dropped. The engine can send them again.
	ErrOverflow = errors.New("engine: stream queue full, replies dropped")
	// ErrStaleFence means that the engine has accepted an order with a higher
	// fencing token.
	ErrStaleFence = errors.New("engine: fencing token too old")
	// ErrInvalidResponse means that the response of the engine is invalid.
	ErrInvalidResponse = errors.New("engine: invalid response")
)
