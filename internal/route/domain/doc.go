// Package domain holds the tables of the routing logic and the events and
// commands through which the rest of the program drives it.
//
// It imports base/spec only. Package core runs the systems of its sibling
// packages over a World each tick; nothing here does I/O, reads a clock or
// starts a goroutine, and no loop ranges over a map where order shows.
package domain
