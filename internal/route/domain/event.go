package domain

import (
	"time"

	"fulmarwick/internal/base/spec"
)

// Event is something that happened outside and that the logic must know.
type Event interface{ event() }

// RequestArrived tells that a caller asks for model work.
type RequestArrived struct {
	Request spec.RequestID
	Team    spec.TeamID
	Class   spec.ClassName
	Model   spec.ModelName
	// PromptTokens and Limit are tokens: the estimated prompt and the most to make.
	PromptTokens int
	MaxTokens    int
	// BlockHashes are chained hashes of the prompt's blocks, first block first.
	BlockHashes []uint64
	// Fingerprint identifies the same request when its caller sends it again.
	Fingerprint uint64
	// ReceivedTokens is how many tokens the caller already has, after a resume.
	ReceivedTokens int
	// Hops is how often another instance forwarded the request: 0 or 1.
	Hops int
}

// RequestProgress tells how many tokens a request has made. It is sent now and then,
// never once per token.
type RequestProgress struct {
	Request spec.RequestID
	Tokens  int
}

// StageLost tells that a stage of a running request failed.
type StageLost struct {
	Request spec.RequestID
	Attempt uint32
	Engine  spec.UpstreamID
	Cause   Cause
	// Tokens is how many tokens the request has made; what is rebuilt and
	// where a poison suspect died follow from it.
	Tokens int
}

// RequestFinished tells that a request ended, for whatever reason.
type RequestFinished struct {
	Request spec.RequestID
	Tokens  int
	// FirstToken and Gap are the first-token time and the longest gap; zero if none.
	FirstToken time.Duration
	LongestGap time.Duration
	TotalTime  time.Duration
	OK         bool
}

// RequestCanceled tells that the caller went away.
type RequestCanceled struct {
	Request spec.RequestID
}

// EngineReport carries an engine's report.
type EngineReport struct {
	Engine Engine
}

// EngineDead tells that an engine does not answer, or died with its state.
type EngineDead struct {
	Engine spec.UpstreamID
}

// EngineLeaving tells that an engine takes no new work.
type EngineLeaving struct {
	Engine spec.UpstreamID
}

// EngineRemoved tells that an engine was removed from the platform's list.
type EngineRemoved struct {
	Engine spec.UpstreamID
}

// HopMeasured reports how long hops to an engine took since the last report,
// without the engine's own time.
type HopMeasured struct {
	Engine spec.UpstreamID
	P50    time.Duration
	P99    time.Duration
	Count  int
}

// ConfigChanged replaces the classes and teams in force.
type ConfigChanged struct {
	Version uint64
	Classes []spec.Class
	Teams   []spec.Team
}

// PeersChanged tells which other instances of the data centre live.
type PeersChanged struct {
	Peers []spec.InstanceID
}

// PeerLoad tells what another instance has in flight on an engine, as its
// OwnLoad gave it.
type PeerLoad struct {
	Peer           spec.InstanceID
	Engine         spec.UpstreamID
	Active         int
	LayerTokenRate int
}

// PeerRemoved forgets all that another instance reported.
type PeerRemoved struct {
	Peer spec.InstanceID
}

// SuspectReported carries a poison fingerprint that another instance reported.
type SuspectReported struct {
	Fingerprint uint64
	// Crashes is how many engines died while running it, fleet-wide.
	Crashes int
	// Engine is the last that died; "" if not known.
	Engine spec.UpstreamID
}

// TeamUsage tells the fleet-wide use of a heavy team, in tokens a second.
type TeamUsage struct {
	Team spec.TeamID
	Rate float64
}

// CacheReport carries cache events of an engine. A Seq that does not follow the
// last one shows a gap.
type CacheReport struct {
	Engine  spec.UpstreamID
	Seq     uint64
	Added   []uint64
	Removed []uint64
	// Reset says that the lists are the whole content at Seq.
	Reset bool
}

// CentreCapacity tells what another data centre can still take of a model.
type CentreCapacity struct {
	DataCentre spec.DataCentre
	Model      spec.ModelName
	// Instance is one there that takes forwarded requests.
	Instance spec.InstanceID
	// FreeRate is in tokens a second; zero or less means nothing.
	FreeRate float64
}

// Duties tells which duties this instance holds under a lease.
type Duties struct {
	// PlansPlacement is the planning of the placement in the data centre.
	PlansPlacement bool
}

func (RequestArrived) event()  {}
func (RequestProgress) event() {}
func (StageLost) event()       {}
func (RequestFinished) event() {}
func (RequestCanceled) event() {}
func (EngineReport) event()    {}
func (EngineDead) event()      {}
func (EngineLeaving) event()   {}
func (EngineRemoved) event()   {}
func (HopMeasured) event()     {}
func (ConfigChanged) event()   {}
func (PeersChanged) event()    {}
func (PeerLoad) event()        {}
func (PeerRemoved) event()     {}
func (SuspectReported) event() {}
func (TeamUsage) event()       {}
func (CacheReport) event()     {}
func (CentreCapacity) event()  {}
func (Duties) event()          {}
