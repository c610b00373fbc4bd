// Package retry says whether a request that lost a stage may go on, and how
// long the wire waits for a step before it counts the stage as lost.
//
// It imports base and route/domain. Package core
// calls it at each start and loss. Calls that may not be repeated are never
// here: they go to plain services through the ledger.
package retry

import (
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/domain"
)

const (
	// maxAttempts bounds the chains tried for one request.
	maxAttempts = 8
	// retriesPerRequest is the part of a retry that each first start earns its class;
	// bankMost is the most that a class may save up.
	retriesPerRequest = 0.1
	maxBalance        = 20
)

// Budget limits retries per class. A loss by death, leaving or lost state
// rebuilds only the lost range and is bounded per request. A timeout or a
// refusal may come from overload, where trying again adds load to what is full
// already; those draw on a bank that first starts fill by a tenth each, so
// that retries never add more than a tenth to the load.
type Budget struct {
	balances map[spec.ClassName]float64
}

// RecordRequest notes a first start of the class.
func (b *Budget) RecordRequest(class spec.ClassName) {
	b.balances[class] = min(b.balance(class)+retriesPerRequest, maxBalance)
}

// AllowRetry reports whether the request, which lost a stage, may start again.
func (b *Budget) AllowRetry(r *domain.Request) bool {
	if r.Attempt() >= maxAttempts {
		return false
	}
	if r.EngineDied() || r.LossCause() == domain.CauseStateLost || r.LossCause() == domain.CauseLeaving {
		return true
	}
	class := r.Arrival().Class
	if b.balance(class) < 1 {
		return false
	}
	b.balances[class]--
	return true
}

// RetainClasses drops the banks of classes that are no longer in force.
func (b *Budget) RetainClasses(classes []spec.Class) {
	kept := map[spec.ClassName]float64{}
	for _, c := range classes {
		if have, ok := b.balances[c.Name()]; ok {
			kept[c.Name()] = have
		}
	}
	b.balances = kept
}

func (b *Budget) balance(class spec.ClassName) float64 {
	if b.balances == nil {
		b.balances = map[spec.ClassName]float64{}
	}
	if _, ok := b.balances[class]; !ok {
		b.balances[class] = maxBalance
	}
	return b.balances[class]
}

// Timeouts is how long the wire waits for a step.
type Timeouts struct {
	// Step is for one token, Prefill for the first step of a new stage.
	Step    time.Duration
	Prefill time.Duration
}
