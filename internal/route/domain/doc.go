// Package domain holds the state of the routing logic and the events and
// commands through which the rest of the program drives it.
//
// It imports base/spec only. Package core applies the policies of its sibling
// packages to a RoutingState in each tick. Nothing here does I/O, reads a
// clock or starts a goroutine, and no loop ranges over a map where the order
// affects the result.
package domain
