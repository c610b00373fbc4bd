package domain

import (
	"time"

	"fulmarwick/internal/base/spec"
)

// Event is an input to the routing logic: something that happened outside and
// affects routing.
type Event interface{ event() }

// RequestArrived reports a new request of a caller for a model.
type RequestArrived struct {
	Request spec.RequestID
	Team    spec.TeamID
	Class   spec.ClassName
	Model   spec.ModelName
	// PromptTokens is the estimated length of the prompt.
	PromptTokens int
	// MaxTokens is the maximum number of tokens to generate.
	MaxTokens int
	// BlockHashes are the chained hashes of the prompt's blocks, first block
	// first.
	BlockHashes []uint64
	// Fingerprint identifies the same request when its caller sends it again;
	// zero if there is none.
	Fingerprint uint64
	// ReceivedTokens is the number of tokens that the caller of a resumed
	// request already has.
	ReceivedTokens int
	// Hops is how many times another instance forwarded the request: 0 or 1.
	Hops int
}

// RequestProgress reports how many tokens a request has generated. It is sent
// from time to time, never once per token.
type RequestProgress struct {
	Request spec.RequestID
	Tokens  int
}

// StageLost reports that a stage of a running request failed.
type StageLost struct {
	Request spec.RequestID
	Attempt uint32
	Engine  spec.UpstreamID
	Cause   Cause
	// Tokens is the number of tokens that the request has generated. It
	// determines what is rebuilt and at which point a poison suspect crashed
	// its engine.
	Tokens int
}

// RequestFinished reports that a request ended, for whatever reason.
type RequestFinished struct {
	Request spec.RequestID
	Tokens  int
	// FirstToken is the time to the first token; zero if there was none.
	FirstToken time.Duration
	// LongestGap is the longest time between tokens; zero if there was none.
	LongestGap time.Duration
	TotalTime  time.Duration
	OK         bool
}

// RequestCanceled reports that the caller disconnected or canceled the
// request.
type RequestCanceled struct {
	Request spec.RequestID
}

// EngineReport carries an engine's report about itself.
type EngineReport struct {
	Engine Engine
}

// EngineDead reports that an engine died and lost its state.
type EngineDead struct {
	Engine spec.UpstreamID
}

// EngineSilent reports that an engine does not answer. It may go on later with
// what it runs.
type EngineSilent struct {
	Engine spec.UpstreamID
}

// EngineLeaving reports that an engine accepts no new work.
type EngineLeaving struct {
	Engine spec.UpstreamID
}

// EngineRemoved reports that an engine was removed from the platform's list.
type EngineRemoved struct {
	Engine spec.UpstreamID
}

// HopMeasured reports the measured time of hops to an engine since the last
// such event, without the engine's own processing time.
type HopMeasured struct {
	Engine spec.UpstreamID
	P50    time.Duration
	P99    time.Duration
	Count  int
}

// ConfigChanged replaces the configured classes and teams.
type ConfigChanged struct {
	Version uint64
	Classes []spec.Class
	Teams   []spec.Team
}

// PeersChanged replaces the list of live peers: the other instances of the
// data centre.
type PeersChanged struct {
	Peers []spec.InstanceID
}

// PeerLoad reports the load of another instance's requests on an engine, as
// announced by its LocalLoad command.
type PeerLoad struct {
	Peer           spec.InstanceID
	Engine         spec.UpstreamID
	Active         int
	LayerTokenRate int
}

// PeerRemoved removes another instance and everything that it reported.
type PeerRemoved struct {
	Peer spec.InstanceID
}

// SuspectReported carries a poison suspect that another instance reported.
// Zero crashes clear the suspect.
type SuspectReported struct {
	Fingerprint uint64
	// Crashes is the number of engines that crashed while running the
	// request, fleet-wide.
	Crashes int
	// Engine is the last engine that crashed; "" if not known.
	Engine spec.UpstreamID
}

// TeamUsage reports the fleet-wide usage of a heavy team, in tokens per
// second.
type TeamUsage struct {
	Team spec.TeamID
	Rate float64
}

// CacheReport carries prefix cache events of an engine. A Seq that does not
// directly follow the last one means that events were lost.
type CacheReport struct {
	Engine  spec.UpstreamID
	Seq     uint64
	Added   []uint64
	Removed []uint64
	// Reset says that the lists are the complete cache content at Seq.
	Reset bool
}

// CentreCapacity reports the free capacity for a model that another data
// centre offers.
type CentreCapacity struct {
	DataCentre spec.DataCentre
	Model      spec.ModelName
	// Instance is an instance there that accepts forwarded requests.
	Instance spec.InstanceID
	// FreeRate is in tokens per second; zero or less means no free capacity.
	FreeRate float64
}

// Duties reports which duties this instance holds under a lease.
type Duties struct {
	// PlansPlacement is set while the instance plans the placement of the
	// data centre.
	PlansPlacement bool
}

func (RequestArrived) event()  {}
func (RequestProgress) event() {}
func (StageLost) event()       {}
func (RequestFinished) event() {}
func (RequestCanceled) event() {}
func (EngineReport) event()    {}
func (EngineDead) event()      {}
func (EngineSilent) event()    {}
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
