// Package retry decides whether a request that lost a stage may be started
// again, and how long a step may take before its stage counts as lost.
//
// It imports base and route/domain. Package core calls it at each start and
// loss. Calls that must not be repeated never get here: they go to plain
// services through state/ledger.
package retry

import (
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/domain"
)

const (
	// maxAttempts bounds the number of starts of one request.
	maxAttempts = 8
	// retriesPerRequest is the fraction of a retry that each first start adds
	// to the budget of its class.
	retriesPerRequest = 0.1
	// maxBalance is the largest budget that a class can save up.
	maxBalance = 20
)

// Budget limits retries per class. A retry after a death, a leaving engine or
// lost state rebuilds only the lost range and is bounded per request. A
// timeout or a refusal may come from overload, where a retry adds load to
// engines that are full already. These retries are taken from a balance to
// which each first start adds a tenth, so that retries never add more than a
// tenth to the load in the long run.
type Budget struct {
	balances map[spec.ClassName]float64
}

// RecordRequest adds the share of a first start to the budget of the class.
func (b *Budget) RecordRequest(class spec.ClassName) {
	b.balances[class] = min(b.balance(class)+retriesPerRequest, maxBalance)
}

// AllowRetry reports whether the request, which lost a stage, may start
// again, and takes the retry from the budget if needed.
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

// RetainClasses removes the balances of classes that are no longer
// configured.
func (b *Budget) RetainClasses(classes []spec.Class) {
	kept := map[spec.ClassName]float64{}
	for _, c := range classes {
		if balance, ok := b.balances[c.Name()]; ok {
			kept[c.Name()] = balance
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

// Timeouts says how long a step may take before its stage counts as lost.
type Timeouts struct {
	// Step is the timeout for one token.
	Step time.Duration
	// Prefill is the timeout for the first step of a new stage.
	Prefill time.Duration
}
