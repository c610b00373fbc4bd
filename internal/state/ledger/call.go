package ledger

import (
	"fulmarwick/internal/base/spec"

	"github.com/cespare/xxhash/v2"
)

//go:generate stringer -type=State -linecomment -output=state_string.go

// State is the recorded state of a call.
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

// NewCall returns a call. The key is the caller's idempotency key, and
// contentType is the content type of body.
func NewCall(team spec.TeamID, class spec.ClassName, service spec.ServiceName, key, contentType string, body []byte) Call {
	return Call{team: team, class: class, service: service, key: key, contentType: contentType, body: body}
}

// Team returns the team that makes the call.
func (c Call) Team() spec.TeamID { return c.team }

// Class returns the class of the call.
func (c Call) Class() spec.ClassName { return c.class }

// Service returns the service that runs the call.
func (c Call) Service() spec.ServiceName { return c.service }

// Key returns the caller's idempotency key.
func (c Call) Key() string { return c.key }

// ContentType returns the content type of the body.
func (c Call) ContentType() string { return c.contentType }

// Body returns the request body for the service.
func (c Call) Body() []byte { return c.body }

func (c Call) bodyHash() uint64 { return xxhash.Sum64(c.body) }

// Answer is the response of a service to a call.
type Answer struct {
	status      int
	contentType string
	body        []byte
}

// NewAnswer returns an answer with an HTTP status, a content type and a body.
func NewAnswer(status int, contentType string, body []byte) Answer {
	return Answer{status: status, contentType: contentType, body: body}
}

// Status returns the HTTP status.
func (a Answer) Status() int { return a.status }

// ContentType returns the content type of the body.
func (a Answer) ContentType() string { return a.contentType }

// Body returns the response body.
func (a Answer) Body() []byte { return a.body }

// Outcome is the state of a call. It holds the answer if the state is done.
type Outcome struct {
	state  State
	answer Answer
	reason string
}

// State returns the state of the call.
func (o Outcome) State() State { return o.state }

// Reason returns a sentence that says why a call is notrun or unsure. It may be
// empty.
func (o Outcome) Reason() string { return o.reason }

// Answer returns the stored answer of a call in state done.
func (o Outcome) Answer() Answer { return o.answer }
