package world

import (
	"time"

	"fulmarwick/internal/base/spec"
)

// Event is something that happened outside and that the logic must know.
type Event interface{ event() }

// Arrived tells that a caller asks for model work.
type Arrived struct {
	Request spec.RequestID
	Team    spec.TeamID
	Class   spec.ClassName
	Model   spec.ModelName
	// Prompt and Limit are tokens: the estimated prompt and the most to make.
	Prompt int
	Limit  int
	// Blocks are chained hashes of the prompt's blocks, first block first.
	Blocks []uint64
	// Print identifies the same request when its caller sends it again.
	Print uint64
	// Done is how many tokens the caller already has, after a resume.
	Done int
	// Hops is how often another instance forwarded the request: 0 or 1.
	Hops int
}

// Progress tells how many tokens a request has made. It is sent now and then,
// never once per token.
type Progress struct {
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

// Finished tells that a request ended, for whatever reason.
type Finished struct {
	Request spec.RequestID
	Tokens  int
	// First and Gap are the first-token time and the longest gap; zero if none.
	First time.Duration
	Gap   time.Duration
	Whole time.Duration
	OK    bool
}

// Canceled tells that the caller went away.
type Canceled struct {
	Request spec.RequestID
}

// EngineSeen carries an engine's report.
type EngineSeen struct {
	Engine Engine
}

// EngineDown tells that an engine does not answer, or died with its state.
type EngineDown struct {
	Engine spec.UpstreamID
}

// EngineLeaving tells that an engine takes no new work.
type EngineLeaving struct {
	Engine spec.UpstreamID
}

// EngineGone tells that an engine was removed from the platform's list.
type EngineGone struct {
	Engine spec.UpstreamID
}

// HopTimed reports how long hops to an engine took since the last report,
// without the engine's own time.
type HopTimed struct {
	Engine spec.UpstreamID
	P50    time.Duration
	P99    time.Duration
	Count  int
}

// ConfigSet replaces the classes and teams in force.
type ConfigSet struct {
	Version uint64
	Classes []spec.Class
	Teams   []spec.Team
}

// PeersSet tells which other instances of the data centre live.
type PeersSet struct {
	Peers []spec.InstanceID
}

// PeerLoad tells what another instance has in flight on an engine, as its
// OwnLoad gave it.
type PeerLoad struct {
	Peer   spec.InstanceID
	Engine spec.UpstreamID
	Active int
	Tokens int
}

// PeerGone forgets all that another instance reported.
type PeerGone struct {
	Peer spec.InstanceID
}

// Suspected carries a poison fingerprint that another instance reported.
type Suspected struct {
	Print uint64
	// Crashes is how many engines died while running it, fleet-wide.
	Crashes int
	// Engine is the last that died; "" if not known.
	Engine spec.UpstreamID
}

// TeamUsed tells the fleet-wide use of a heavy team, in tokens a second.
type TeamUsed struct {
	Team spec.TeamID
	Rate float64
}

// CacheSeen carries cache events of an engine. A Seq that does not follow the
// last one shows a gap.
type CacheSeen struct {
	Engine  spec.UpstreamID
	Seq     uint64
	Added   []uint64
	Removed []uint64
	// Reset says that the lists are the whole content at Seq.
	Reset bool
}

// CentreSum tells what another data centre can still take of a model.
type CentreSum struct {
	DataCentre spec.DataCentre
	Model      spec.ModelName
	// Instance is one there that takes forwarded requests.
	Instance spec.InstanceID
	// Free is in tokens a second; zero or less means nothing.
	Free float64
}

// Duties tells which duties this instance holds under a lease.
type Duties struct {
	// Place is the planning of the placement in the data centre.
	Place bool
}

func (Arrived) event()       {}
func (Progress) event()      {}
func (StageLost) event()     {}
func (Finished) event()      {}
func (Canceled) event()      {}
func (EngineSeen) event()    {}
func (EngineDown) event()    {}
func (EngineLeaving) event() {}
func (EngineGone) event()    {}
func (HopTimed) event()      {}
func (ConfigSet) event()     {}
func (PeersSet) event()      {}
func (PeerLoad) event()      {}
func (PeerGone) event()      {}
func (Suspected) event()     {}
func (TeamUsed) event()      {}
func (CacheSeen) event()     {}
func (CentreSum) event()     {}
func (Duties) event()        {}
