package spec

import "time"

//go:generate stringer -type=Kind -linecomment -output=kind_string.go

// Kind is the type of upstream that serves a class.
type Kind int

// The kinds of classes.
const (
	KindModel Kind = iota // model
	KindPlain             // plain
)

// Target is the service level that operators set for a class: Percent of all requests must
// stay within each limit. A limit of zero is not set.
type Target struct {
	firstEvent, gap, totalTime time.Duration
	percent                    float64
}

// NewTarget returns a target. A limit of zero is not set.
func NewTarget(firstEvent, gap, totalTime time.Duration, percent float64) Target {
	return Target{firstEvent: firstEvent, gap: gap, totalTime: totalTime, percent: percent}
}

// FirstEvent returns the limit on the time to the first token.
func (t Target) FirstEvent() time.Duration { return t.firstEvent }

// Gap returns the limit on the time between two tokens.
func (t Target) Gap() time.Duration { return t.gap }

// TotalTime returns the limit on the time to the complete answer.
func (t Target) TotalTime() time.Duration { return t.totalTime }

// Percent returns the percentage of requests that must meet the limits.
func (t Target) Percent() float64 { return t.percent }

// Class is a class of requests with its target.
type Class struct {
	name      ClassName
	kind      Kind
	model     ModelName
	service   ServiceName
	retryable bool
	target    Target
}

// NewModelClass returns a class that is served by engines of the model. Its requests are
// retryable.
func NewModelClass(name ClassName, model ModelName, target Target) Class {
	return Class{name: name, kind: KindModel, model: model, retryable: true, target: target}
}

// NewPlainClass returns a class that is served by a plain service. If the class is not
// retryable, each request needs an idempotency key.
func NewPlainClass(name ClassName, service ServiceName, retryable bool, target Target) Class {
	return Class{name: name, kind: KindPlain, service: service, retryable: retryable, target: target}
}

// Name returns the name of the class.
func (c Class) Name() ClassName { return c.name }

// Kind returns the type of upstream that serves the class.
func (c Class) Kind() Kind { return c.kind }

// Model returns the model of a model class; empty for a plain class.
func (c Class) Model() ModelName { return c.model }

// Service returns the service of a plain class; empty for a model class.
func (c Class) Service() ServiceName { return c.service }

// Retryable reports whether a request may safely run more than once.
func (c Class) Retryable() bool { return c.retryable }

// Target returns the service level that the class must be served with.
func (c Class) Target() Target { return c.target }

// Team is a customer of the deployment.
type Team struct {
	id    TeamID
	name  string
	share float64
	limit float64
}

// NewTeam returns a team. share is its share of the fleet under contention, relative to other
// teams; 1 is the default.
func NewTeam(id TeamID, name string, share float64) Team {
	return Team{id: id, name: name, share: share}
}

// ID returns the hash of the team's API key.
func (t Team) ID() TeamID { return t.id }

// Name returns the display name of the team.
func (t Team) Name() string { return t.name }

// Share returns the team's share of the fleet under contention, relative to other teams.
func (t Team) Share() float64 { return t.share }

// WithLimit returns a copy of the team with a limit on its use, in tokens per second across
// the whole fleet; zero means no limit.
func (t Team) WithLimit(limit float64) Team {
	t.limit = limit
	return t
}

// Limit returns the maximum use of the team in tokens per second across the whole fleet; zero
// means no limit.
func (t Team) Limit() float64 { return t.limit }
