// Package retry says whether a request that lost a stage may go on, and how
// long the wire waits for a step before it counts the stage as lost.
//
// It imports base and route/world. Package core
// calls it at each start and loss. Calls that may not be repeated are never
// here: they go to plain services through the ledger.
package retry

import (
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/world"
)

const (
	// attemptsMost bounds the chains tried for one request.
	attemptsMost = 8
	// earn is the part of a retry that each first start earns its class;
	// bankMost is the most that a class may save up.
	earn     = 0.1
	bankMost = 20
)

// Budget limits retries per class. A loss by death, leaving or lost state
// rebuilds only the lost range and is bounded per request. A timeout or a
// refusal may come from overload, where trying again adds load to what is full
// already; those draw on a bank that first starts fill by a tenth each, so
// that retries never add more than a tenth to the load.
type Budget struct {
	banks map[spec.ClassName]float64
}

// Began notes a first start of the class.
func (b *Budget) Began(class spec.ClassName) {
	b.banks[class] = min(b.bank(class)+earn, bankMost)
}

// Allow reports whether the request, which lost a stage, may start again.
func (b *Budget) Allow(r *world.Request) bool {
	if r.Attempt() >= attemptsMost {
		return false
	}
	if r.Died() || r.Cause() == world.CauseState || r.Cause() == world.CauseLeaving {
		return true
	}
	class := r.Arrived().Class
	if b.bank(class) < 1 {
		return false
	}
	b.banks[class]--
	return true
}

// Keep drops the banks of classes that are no longer in force.
func (b *Budget) Keep(classes []spec.Class) {
	kept := map[spec.ClassName]float64{}
	for _, c := range classes {
		if have, ok := b.banks[c.Name()]; ok {
			kept[c.Name()] = have
		}
	}
	b.banks = kept
}

func (b *Budget) bank(class spec.ClassName) float64 {
	if b.banks == nil {
		b.banks = map[spec.ClassName]float64{}
	}
	if _, ok := b.banks[class]; !ok {
		b.banks[class] = bankMost
	}
	return b.banks[class]
}

// Times is how long the wire waits for a step.
type Times struct {
	// Step is for one token, Prefill for the first step of a new stage.
	Step    time.Duration
	Prefill time.Duration
}
