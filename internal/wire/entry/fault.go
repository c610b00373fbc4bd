package entry

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"fulmarwick/internal/route/world"
	"fulmarwick/internal/state/ledger"
	"fulmarwick/internal/wire/chain"

	"github.com/go-faster/errors"
)

// Ran says whether a refused request ran.
type Ran string

// The values of Ran.
const (
	RanNo     Ran = "no"
	RanYes    Ran = "yes"
	RanUnsure Ran = "unsure"
)

// FaultError is an error as callers see it. Code is stable.
type FaultError struct {
	Status int           `json:"-"`
	Code   string        `json:"code"`
	Text   string        `json:"message"`
	Ran    Ran           `json:"ran"`
	After  time.Duration `json:"-"`
}

// Error is the sentence of the fault.
func (f *FaultError) Error() string { return f.Text }

type faultBody struct {
	Error *FaultError `json:"error"`
}

func newFault(status int, code, text string, ran Ran) *FaultError {
	return &FaultError{Status: status, Code: code, Text: text, Ran: ran}
}

func (f *FaultError) write(w http.ResponseWriter) {
	if f.After > 0 {
		seconds := int(math.Ceil(f.After.Seconds()))
		w.Header().Set("Retry-After", strconv.Itoa(seconds))
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(f.Status)
	_ = json.NewEncoder(w).Encode(faultBody{Error: f})
}

// faultOf turns an error of the layers below into what the caller sees.
func faultOf(err error) *FaultError {
	var f *FaultError
	if errors.As(err, &f) {
		return f
	}
	var refused *chain.RefusedError
	if errors.As(err, &refused) {
		return refusedFault(refused)
	}
	switch {
	case errors.Is(err, ledger.ErrBody):
		return newFault(http.StatusUnprocessableEntity, "key-reused", "The idempotency key was used with another body.", RanNo)
	case errors.Is(err, ledger.ErrStore):
		f := newFault(http.StatusServiceUnavailable, "store-down", "The record of the call could not be written, so the call was not sent.", RanNo)
		f.After = storeRetry
		return f
	default:
		return newFault(http.StatusInternalServerError, "internal", "The request failed inside the router.", RanUnsure)
	}
}

const storeRetry = 2 * time.Second

func refusedFault(r *chain.RefusedError) *FaultError {
	f := newFault(http.StatusServiceUnavailable, r.Reason.String(), refusals[r.Reason], RanNo)
	if r.Ran {
		f.Ran = RanYes
	}
	f.After = r.After
	switch r.Reason {
	case world.ReasonTeam:
		f.Status = http.StatusTooManyRequests
	case world.ReasonPoison:
		f.Status = http.StatusUnprocessableEntity
	case world.ReasonClass:
		f.Status = http.StatusBadRequest
	}
	return f
}

var refusals = map[world.Reason]string{
	world.ReasonOverload: "The target of the class cannot be met now.",
	world.ReasonTeam:     "The team is above its share while others wait.",
	world.ReasonNoEngine: "No set of engines serves the whole model now.",
	world.ReasonPoison:   "Engines died while they ran this request, so it is not run again.",
	world.ReasonRetries:  "The request failed on several engines and the retry budget is spent.",
	world.ReasonClass:    "The class is not known.",
	world.ReasonReady:    "This instance is not ready.",
}
