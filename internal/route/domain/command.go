package domain

import (
	"time"

	"fulmarwick/internal/base/spec"
)

// Command is an action that the routing logic asks the rest of the program to
// perform.
type Command interface{ command() }

// Start begins or continues a request on a chain. Attempt rises with each
// Start of the same request. Stages that the new chain takes over unchanged
// keep their state; the others are rebuilt.
type Start struct {
	Request spec.RequestID
	Attempt uint32
	Chain   spec.Chain
	Depth   int
	// Priority is the priority inside engines; a lower number runs first.
	Priority int
	// StepTimeout is how long a step for one token may take before its stage
	// counts as lost. If zero, the executor of the command chooses the
	// timeout.
	StepTimeout time.Duration
	// PrefillTimeout is the same for the first step of a new stage.
	PrefillTimeout time.Duration
}

// Wait lets a request wait longer for the stage that it lost because its engine
// did not answer in time. The request keeps its chain, and the step is sent
// again.
type Wait struct {
	Request spec.RequestID
	Attempt uint32
	// StepTimeout and PrefillTimeout replace those of the Start.
	StepTimeout    time.Duration
	PrefillTimeout time.Duration
}

// Refuse ends a request with a refusal as its final answer. Nothing runs for
// the request afterwards.
type Refuse struct {
	Request spec.RequestID
	Reason  Reason
	// RetryAfter is the time after which the caller should try again; zero if
	// that cannot help.
	RetryAfter time.Duration
	// Ran reports whether any engine ran part of the request.
	Ran bool
}

// LoadLayers asks for an engine to end up with exactly these ranges loaded.
type LoadLayers struct {
	Engine spec.UpstreamID
	Ranges []LoadedRange
}

// ReportSuspect reports a poison suspect to the other instances. A report
// with zero crashes clears the suspect.
type ReportSuspect struct {
	Fingerprint uint64
	// Crashes is the number of engines that crashed while running the
	// request, as known to this instance.
	Crashes int
	// Engine is the last engine that crashed, so that a crash that two
	// instances saw counts once; "" if not known.
	Engine spec.UpstreamID
}

// Forward ends a request here and has the named instance run it, because the
// own data centre cannot meet its target. It is never emitted for a request
// that was forwarded already.
type Forward struct {
	Request spec.RequestID
	To      spec.InstanceID
}

// LocalLoad announces to the other instances the load of this instance's
// requests on an engine.
type LocalLoad struct {
	Engine spec.UpstreamID
	// Active is the number of requests.
	Active int
	// LayerTokenRate is their demand in layer-tokens per second.
	LayerTokenRate int
}

// LocalTeamUsage announces to the other instances a heavy team's usage at
// this one, in tokens per second.
type LocalTeamUsage struct {
	Team spec.TeamID
	Rate float64
}

// LocalCapacity announces to the other data centres the free rate for a model
// that this instance offers, in tokens per second.
type LocalCapacity struct {
	Model    spec.ModelName
	FreeRate float64
}

func (Start) command()          {}
func (Wait) command()           {}
func (Refuse) command()         {}
func (LoadLayers) command()     {}
func (ReportSuspect) command()  {}
func (Forward) command()        {}
func (LocalLoad) command()      {}
func (LocalTeamUsage) command() {}
func (LocalCapacity) command()  {}
