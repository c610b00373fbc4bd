package ledger

import (
	"fulmarwick/internal/base/spec"

	"github.com/cespare/xxhash/v2"
)

//go:generate stringer -type=State -linecomment -output=state_string.go

// State is what is known of a call.
type State int

// The states.
const (
	StateNone    State = iota // none
	StateRunning              // running
	StateDone                 // done
	StateNotRun               // notrun
	StateUnsure               // unsure
)

// Call is one call of a plain service.
type Call struct {
	team        spec.TeamID
	class       spec.ClassName
	service     spec.ServiceName
	key         string
	contentType string
	body        []byte
}

// NewCall returns a call. Key is the caller's idempotency key, kind the
// content type of body.
func NewCall(team spec.TeamID, class spec.ClassName, service spec.ServiceName, key, kind string, body []byte) Call {
	return Call{team: team, class: class, service: service, key: key, contentType: kind, body: body}
}

// Team is the team that calls.
func (c Call) Team() spec.TeamID { return c.team }

// Class is the class of the call.
func (c Call) Class() spec.ClassName { return c.class }

// Service is the service that runs the call.
func (c Call) Service() spec.ServiceName { return c.service }

// Key is the caller's idempotency key.
func (c Call) Key() string { return c.key }

// ContentType is the content type of the body.
func (c Call) ContentType() string { return c.contentType }

// Body is what the service gets.
func (c Call) Body() []byte { return c.body }

func (c Call) bodyHash() uint64 { return xxhash.Sum64(c.body) }

// Answer is what a service answered.
type Answer struct {
	status      int
	contentType string
	body        []byte
}

// NewAnswer returns an answer.
func NewAnswer(status int, kind string, body []byte) Answer {
	return Answer{status: status, contentType: kind, body: body}
}

// Status is the HTTP status.
func (a Answer) Status() int { return a.status }

// ContentType is the content type of the body.
func (a Answer) ContentType() string { return a.contentType }

// Body is the answer's body.
func (a Answer) Body() []byte { return a.body }

// Outcome is the state of a call and, if it is done, its answer.
type Outcome struct {
	state  State
	answer Answer
	reason string
}

// State is what is known of the call.
func (o Outcome) State() State { return o.state }

// Reason is a sentence on how a call came to be notrun or unsure; it may be empty.
func (o Outcome) Reason() string { return o.reason }

// Answer is the stored answer of a call that is done.
func (o Outcome) Answer() Answer { return o.answer }
