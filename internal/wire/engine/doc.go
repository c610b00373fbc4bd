// Package engine is the client of model engines: steps over one multiplexed
// WebSocket per engine, and the JSON control calls.
//
// It imports base and route/domain. Package chain opens streams on a Pool;
// package watch reads reports and cache events; package order sends orders.
package engine

import "github.com/go-faster/errors"

// Errors of this package.
var (
	// ErrRefused means that no connection came about, so nothing ran.
	ErrRefused = errors.New("engine: refused")
	// ErrBroken means that the connection broke; sent steps may have run.
	ErrBroken = errors.New("engine: connection broken")
	// ErrTimeout means that no reply came within the time given; the step may
	// have run, or may run yet.
	ErrTimeout = errors.New("engine: no reply in time")
	// ErrOverflow means that the stream's reader was too slow and replies were
	// dropped; the engine can give them again.
	ErrOverflow = errors.New("engine: replies dropped")
	// ErrStaleFence means that the engine took an order with a higher number.
	ErrStaleFence = errors.New("engine: fencing number too old")
	// ErrBody means that the engine's answer is not one that it may give.
	ErrBody = errors.New("engine: bad answer")
)
