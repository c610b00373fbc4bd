package spec

import "time"

//go:generate stringer -type=Kind -linecomment -output=kind_string.go

// Kind says which sort of upstream serves a class.
type Kind int

// The kinds of class.
const (
	KindModel Kind = iota // model
	KindPlain             // plain
)

// Target is what operators ask for a class: Percent of 100 requests within
// each limit that is not zero.
type Target struct {
	firstEvent, gap, totalTime time.Duration
	percent                    float64
}

// NewTarget returns a target. A limit of zero is not a target.
func NewTarget(first, gap, whole time.Duration, percent float64) Target {
	return Target{firstEvent: first, gap: gap, totalTime: whole, percent: percent}
}

// FirstEvent is the limit on the time to the first token.
func (t Target) FirstEvent() time.Duration { return t.firstEvent }

// Gap is the limit on the time between tokens.
func (t Target) Gap() time.Duration { return t.gap }

// TotalTime is the limit on the time to the whole answer.
func (t Target) TotalTime() time.Duration { return t.totalTime }

// Percent is how many of 100 requests must meet the limits.
func (t Target) Percent() float64 { return t.percent }

// Class is a class of work with its target.
type Class struct {
	name      ClassName
	kind      Kind
	model     ModelName
	service   ServiceName
	retryable bool
	target    Target
}

// NewModelClass returns a class that engines of model serve.
func NewModelClass(name ClassName, model ModelName, target Target) Class {
	return Class{name: name, kind: KindModel, model: model, retryable: true, target: target}
}

// NewPlainClass returns a class that a plain service serves. A class that is
// not repeatable needs an idempotency key on each call.
func NewPlainClass(name ClassName, service ServiceName, repeatable bool, target Target) Class {
	return Class{name: name, kind: KindPlain, service: service, retryable: repeatable, target: target}
}

// Name is the class's name.
func (c Class) Name() ClassName { return c.name }

// Kind is the sort of upstream that serves the class.
func (c Class) Kind() Kind { return c.kind }

// Model is the model of a model class.
func (c Class) Model() ModelName { return c.model }

// Service is the service of a plain class.
func (c Class) Service() ServiceName { return c.service }

// Retryable reports whether a call may run more than once without harm.
func (c Class) Retryable() bool { return c.retryable }

// Target is what the class must be served with.
func (c Class) Target() Target { return c.target }

// Team is a customer of the deployment.
type Team struct {
	id    TeamID
	name  string
	share float64
	limit float64
}

// NewTeam returns a team. Share is its part of a contended fleet relative to
// other teams; 1 is the default.
func NewTeam(id TeamID, name string, share float64) Team {
	return Team{id: id, name: name, share: share}
}

// ID is the hash of the team's key.
func (t Team) ID() TeamID { return t.id }

// Name is the team's name for people.
func (t Team) Name() string { return t.name }

// Share is the team's part relative to other teams.
func (t Team) Share() float64 { return t.share }

// WithLimit returns the team with a limit on its use, in tokens a second over the
// whole fleet; zero is none.
func (t Team) WithLimit(limit float64) Team {
	t.limit = limit
	return t
}

// Limit is the most that the team may use, in tokens a second; zero is no limit.
func (t Team) Limit() float64 { return t.limit }
