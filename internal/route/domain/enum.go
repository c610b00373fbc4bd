package domain

//go:generate stringer -type=Cause -linecomment -output=cause_string.go
//go:generate stringer -type=Reason -linecomment -output=reason_string.go
//go:generate stringer -type=State -linecomment -output=state_string.go

// Cause is the way in which a stage was lost.
type Cause int

// The causes. CauseLeaving is also what a full engine answers; with
// CauseStateLost the engine lost only the state of the request.
const (
	CauseBroken    Cause = iota // broken
	CauseTimeout                // timeout
	CauseRefused                // refused
	CauseLeaving                // leaving
	CauseStateLost              // state
)

// Reason is why a request was refused.
type Reason int

// The reasons. Their strings are stable codes that are sent to callers.
const (
	ReasonNone             Reason = iota // none
	ReasonOverload                       // overload
	ReasonTeamLimit                      // team-limit
	ReasonNoEngine                       // no-engine
	ReasonPoison                         // poison
	ReasonRetriesExhausted               // retries
	ReasonUnknownClass                   // unknown-class
	ReasonNotReady                       // not-ready
)

// State is the state of an engine as routing sees it.
type State int

// The engine states.
const (
	StateServing State = iota // serving
	StateLeaving              // leaving
	StateDead                 // down
)
