package domain

//go:generate stringer -type=Cause -linecomment -output=cause_string.go
//go:generate stringer -type=Reason -linecomment -output=reason_string.go
//go:generate stringer -type=State -linecomment -output=state_string.go

// Cause says how a stage was lost.
type Cause int

// The causes.
const (
	CauseBroken    Cause = iota // broken
	CauseTimeout                // timeout
	CauseRefused                // refused
	CauseLeaving                // leaving
	CauseStateLost              // state
)

// Reason says why a request was refused.
type Reason int

// The reasons; their strings are the stable codes that callers see.
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

// The states.
const (
	StateServing State = iota // serving
	StateLeaving              // leaving
	StateDead                 // down
)
