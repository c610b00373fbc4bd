package entry

import (
	"context"
	"math"
	"net/http"
	"strconv"
	"time"

	"fulmarwick/internal/route/domain"
	"fulmarwick/internal/state/ledger"
	"fulmarwick/internal/wire/chain"

	"github.com/go-faster/errors"
)

// Ran reports to the caller whether a failed request was executed.
type Ran string

// The values of Ran. RanUnsure means that the request may have been executed.
const (
	RanNo     Ran = "no"
	RanYes    Ran = "yes"
	RanUnsure Ran = "unsure"
)

// FaultError is an error as it is sent to callers. Codes are part of the API and
// do not change.
type FaultError struct {
	Status int
	Code   string
	// Text is a human-readable sentence.
	Text string
	Ran  Ran
	// RetryAfter is how long the caller should wait before it retries; zero if
	// waiting does not help.
	RetryAfter time.Duration
}

// Error returns the text of the fault.
func (f *FaultError) Error() string { return f.Text }

// The JSON of a fault. After is the value of Retry-After in seconds, for streams
// whose headers have already been sent.
type (
	faultBody struct {
		Error faultJSON `json:"error"`
	}
	faultJSON struct {
		Code  string `json:"code"`
		Text  string `json:"message"`
		Ran   Ran    `json:"ran"`
		After int    `json:"after,omitempty"`
	}
)

// newFault returns a fault without RetryAfter.
func newFault(status int, code, text string, ran Ran) *FaultError {
	return &FaultError{Status: status, Code: code, Text: text, Ran: ran}
}

// seconds returns RetryAfter in whole seconds, rounded up.
func (f *FaultError) seconds() int { return int(math.Ceil(f.RetryAfter.Seconds())) }

func (f *FaultError) body() faultBody {
	return faultBody{Error: faultJSON{Code: f.Code, Text: f.Text, Ran: f.Ran, After: f.seconds()}}
}

// writeFault writes err as the response.
func (s *Server) writeFault(w http.ResponseWriter, err error) {
	f := toFault(err)
	if f.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(f.seconds()))
	}
	s.writeJSON(w, f.Status, f.body())
}

// toFault converts an error of wire/chain or state/ledger to the fault that the
// caller sees.
func toFault(err error) *FaultError {
	var f *FaultError
	if errors.As(err, &f) {
		return f
	}
	var refused *chain.RefusedError
	if errors.As(err, &refused) {
		return refusalFault(refused)
	}
	switch {
	case errors.Is(err, ledger.ErrBodyMismatch):
		return newFault(http.StatusUnprocessableEntity, "key-reused", "The idempotency key was used with another body.", RanNo)
	case errors.Is(err, ledger.ErrStoreUnavailable):
		// This request was not sent. However, an earlier one with the same key
		// may have run on an instance that crashed, and only the record shows
		// this. If "ran" were "no", the caller would pay again under a new key.
		f := newFault(http.StatusServiceUnavailable, "store-down", "The record of the call is out of reach, so this request was not sent; whether an earlier one under the key ran is not known. Send it again with the same key.", RanUnsure)
		f.RetryAfter = storeRetryAfter
		return f
	case errors.Is(err, ledger.ErrRecordUnreadable):
		f := newFault(http.StatusServiceUnavailable, "record-unread", "The record of the call could not be read; ask again for its outcome.", RanUnsure)
		f.RetryAfter = storeRetryAfter
		return f
	case errors.Is(err, context.Canceled), errors.Is(err, ledger.ErrCallerLeft):
		return newFault(statusCallerGone, "caller-gone", "The caller went away.", RanUnsure)
	default:
		return newFault(http.StatusInternalServerError, "internal", "The request failed inside the router.", RanUnsure)
	}
}

const (
	// storeRetryAfter is the Retry-After of faults of the record store.
	storeRetryAfter = 2 * time.Second
	// statusCallerGone is the status of faults whose caller has disconnected.
	// It never reaches a caller.
	statusCallerGone = 499
)

// refusalFault converts a refusal by the router to a fault.
func refusalFault(r *chain.RefusedError) *FaultError {
	text, ok := refusalTexts[r.Reason]
	if !ok {
		text = "The request was refused."
	}
	f := newFault(http.StatusServiceUnavailable, r.Reason.String(), text, RanNo)
	if r.Ran {
		f.Ran = RanYes
	}
	f.RetryAfter = r.RetryAfter
	switch r.Reason {
	case domain.ReasonTeamLimit:
		f.Status = http.StatusTooManyRequests
	case domain.ReasonPoison:
		f.Status = http.StatusUnprocessableEntity
	case domain.ReasonUnknownClass:
		f.Status = http.StatusBadRequest
	}
	return f
}

// refusalTexts holds the text of the fault for each refusal reason.
var refusalTexts = map[domain.Reason]string{
	domain.ReasonOverload:         "The target of the class cannot be met now.",
	domain.ReasonTeamLimit:        "The team is above its limit, or above its share while others wait.",
	domain.ReasonNoEngine:         "No set of engines serves the whole model now.",
	domain.ReasonPoison:           "Engines died while they ran this request, so it is not run again.",
	domain.ReasonRetriesExhausted: "The request failed on several engines and the retry budget is spent.",
	domain.ReasonUnknownClass:     "The class is not known.",
	domain.ReasonNotReady:         "This instance is not ready.",
}
