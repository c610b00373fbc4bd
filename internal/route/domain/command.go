package domain

import (
	"time"

	"fulmarwick/internal/base/spec"
)

// Command is something that the logic wants done outside.
type Command interface{ command() }

// Start begins or continues a request on a chain. Attempt rises with each
// Start of the same request; stages that stand unchanged in the new chain
// keep their state, the others are rebuilt.
type Start struct {
	Request spec.RequestID
	Attempt uint32
	Chain   spec.Chain
	Depth   int
	// Priority is the engine priority; a lower number runs first.
	Priority int
	// StepTimeout is how long a step for one token may take before its stage
	// counts as lost, Prefill the same for the first step of a new stage.
	// Zero leaves it to the wire.
	StepTimeout    time.Duration
	PrefillTimeout time.Duration
}

// Refuse ends a request with its final answer. Nothing runs for it after.
type Refuse struct {
	Request spec.RequestID
	Reason  Reason
	// RetryAfter is when the caller should try again; zero if that cannot help.
	RetryAfter time.Duration
	// Ran reports whether any engine ran part of the request.
	Ran bool
}

// LoadLayers asks for an engine to hold just these ranges in the end.
type LoadLayers struct {
	Engine spec.UpstreamID
	Ranges []LoadedRange
}

// ReportSuspect tells the other instances about a poison suspect.
type ReportSuspect struct {
	Fingerprint uint64
	// Crashes is how many engines died while running it, as known here.
	Crashes int
	// Engine is the last that died, so that two instances which saw the same
	// death count it once; "" if not known.
	Engine spec.UpstreamID
}

// Forward ends a request here and has the instance named run it, since the
// own data centre cannot meet its target. It is never given for a request
// that was forwarded already.
type Forward struct {
	Request spec.RequestID
	To      spec.InstanceID
}

// LocalLoad tells the other instances what this one has in flight on an engine.
type LocalLoad struct {
	Engine spec.UpstreamID
	// Active counts requests; Tokens is what they draw, in layer-tokens a
	// second.
	Active         int
	LayerTokenRate int
}

// LocalTeamUsage tells the other instances this one's use by a heavy team, in tokens
// a second.
type LocalTeamUsage struct {
	Team spec.TeamID
	Rate float64
}

// LocalCapacity tells the other data centres what this one can still take of a model.
type LocalCapacity struct {
	Model    spec.ModelName
	FreeRate float64
}

func (Start) command()          {}
func (Refuse) command()         {}
func (LoadLayers) command()     {}
func (ReportSuspect) command()  {}
func (Forward) command()        {}
func (LocalLoad) command()      {}
func (LocalTeamUsage) command() {}
func (LocalCapacity) command()  {}
