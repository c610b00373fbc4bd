// Package node is the deterministic logic of one instance in the fleet:
// membership, gossip, assignment of duties and engine watches. Like route/core
// it is driven by Tick alone: it does no I/O and uses no clock, goroutine or
// global randomness.
//
// It imports base/news, base/spec and its sibling packages of the fleet.
// Package wire/peer transports its messages; the daemon drives it.
package node

import (
	"fulmarwick/internal/base/news"
	"fulmarwick/internal/base/spec"
)

// Peer is another instance, as listed by the platform or the settings.
type Peer struct {
	ID         spec.InstanceID
	DataCentre spec.DataCentre
	// URL is the address of its peer endpoint.
	URL string
	// Version is the version of its row in the roster, or zero if it has
	// none.
	Version spec.Revision
	// Passive reports that the instance accepts no duties and no forwarded
	// requests, because it is still catching up or is stopping. Only
	// Members sets it.
	Passive bool
	// Constrained reports that the instance has too little processor time or bandwidth to work
	// for others.
	Constrained bool
}

// Event is an input of the logic.
type Event interface{ event() }

// DiscoveryList gives the instances that should exist, from the settings and
// from the platform's list, which lags. It is a hint: an instance missing from
// it is not considered dead.
type DiscoveryList struct {
	Peers []Peer
	// Engines are the engines of the local data centre that must be
	// watched.
	Engines []spec.UpstreamID
}

// Received carries a message from another instance.
type Received struct {
	From spec.InstanceID
	Data []byte
}

// ConnectionLost reports that a connection to another instance broke or could
// not be established.
type ConnectionLost struct {
	Peer spec.InstanceID
}

// Publish spreads an item to the other instances. The logic sets Origin and
// Stamp. Items of KindLoad and KindRate are not sent as they are: they are
// added to the values of the other instances, and the totals come back as
// PeerEngineLoad and TeamUsage. An item that is still valid must be published
// again before its TTL is over; publishing it unchanged costs nothing in the
// first half of its TTL.
type Publish struct {
	Item news.Item
}

// TokensUsed reports that a team used tokens on this instance. A bounded
// sketch finds the heaviest of all teams.
type TokensUsed struct {
	Team   spec.TeamID
	Tokens int
}

// SetDuties replaces the list of duties.
type SetDuties struct {
	Duties []DutySpec
}

// DutySpec is a duty and the instances it may be assigned to: those of the
// local data centre, or all that can be reached.
type DutySpec struct {
	Name  string
	Scope news.Scope
}

// Stop begins the graceful stop: other instances take over the duties and
// watches. HandedOver reports when that is done; until Leave the instance
// keeps exchanging messages with its peers.
type Stop struct{}

// Leave ends the graceful stop once no work is in progress: the instance
// announces that it leaves before it stops sending. Left reports when the
// peers know.
type Leave struct{}

func (DiscoveryList) event()  {}
func (Received) event()       {}
func (ConnectionLost) event() {}
func (Publish) event()        {}
func (TokensUsed) event()     {}
func (SetDuties) event()      {}
func (Stop) event()           {}
func (Leave) event()          {}

// Command is an action that the logic asks its driver to carry out.
type Command interface{ command() }

// Send sends a message to another instance. The message may be lost.
type Send struct {
	To   spec.InstanceID
	URL  string
	Data []byte
}

// Deliver passes on an item of another instance that was not known here.
type Deliver struct {
	Item news.Item
}

// ExpirePeer reports that the items of an instance are no longer valid,
// because it died, left or restarted.
type ExpirePeer struct {
	Peer spec.InstanceID
}

// Watch sets the engines whose reports this instance reads from now on.
type Watch struct {
	Engines []spec.UpstreamID
	// Primary are the engines in Engines whose reports this instance also
	// publishes. For the others it is the backup.
	Primary []spec.UpstreamID
}

// Duty reports whether a duty is assigned to this instance, by rendezvous
// hashing over the live instances. The instance acts only once it also holds
// the lease of the duty.
type Duty struct {
	Name     string
	Assigned bool
}

// TeamUsage is the usage of a heavy team over the fleet, the local usage
// included, in tokens per second.
type TeamUsage struct {
	Team spec.TeamID
	Rate float64
}

// PeerEngineLoad is the work that all other instances of the data centre have
// in flight on an engine.
type PeerEngineLoad struct {
	Engine spec.UpstreamID
	Active int
	Tokens int
}

// Members lists the other live instances. It is emitted after each change.
type Members struct {
	Peers []Peer
}

// HandedOver reports that duties and watches were handed over after Stop.
type HandedOver struct{}

// Left reports that the peers know that this instance left, after Leave.
type Left struct{}

// Ready reports that this instance has the state of its peers, so that it may
// take decisions.
type Ready struct{}

func (Send) command()       {}
func (Deliver) command()    {}
func (ExpirePeer) command() {}
func (Watch) command()      {}
func (Duty) command()       {}
func (Ready) command()      {}

func (TeamUsage) command()      {}
func (PeerEngineLoad) command() {}
func (Members) command()        {}
func (HandedOver) command()     {}
func (Left) command()           {}
