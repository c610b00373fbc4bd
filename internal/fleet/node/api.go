// Package node is the deterministic logic of one instance among the others:
// membership, spreading of news, duties and watches. Like route/core it is
// driven by Tick alone: no I/O, clock, goroutine or global randomness.
//
// It imports base/news, base/spec and its sibling packages of the fleet.
// Package peer of the wire carries its messages; the daemon drives it.
package node

import (
	"fulmarwick/internal/base/news"
	"fulmarwick/internal/base/spec"
)

// Peer is an instance as the platform's list or the settings name it.
type Peer struct {
	ID         spec.InstanceID
	DataCentre spec.DataCentre
	// URL is where its peer endpoint answers.
	URL string
	// Version is that of its row in the roster; zero if it has none.
	Version uint64
	// Passive says that it takes no duties and no forwarded requests: it still
	// catches up, or is on its way out. Only Members fills it.
	Passive bool
}

// Event is something that happened outside.
type Event interface{ event() }

// DiscoveryList tells who should be there, by the platform's lagging list and the
// settings. It is a hint: an instance missing from it is not dead.
type DiscoveryList struct {
	Peers []Peer
	// Engines are the engines of the own data centre, to be watched.
	Engines []spec.UpstreamID
}

// Received carries a message from another instance.
type Received struct {
	From spec.InstanceID
	Data []byte
}

// ConnectionLost tells that a connection to another instance broke or could not be
// made.
type ConnectionLost struct {
	Peer spec.InstanceID
}

// Publish spreads an item. Origin and Stamp are filled in. An item of KindLoad or
// KindRate is added to those of the others and comes back to them as
// EngineLoad and TeamUse. An item that still counts must be said again before
// its Life is over; saying it unchanged costs nothing before half of it.
type Publish struct {
	Item news.Item
}

// TokensUsed tells that a team used tokens here. The heaviest teams are found among
// all by a bounded sketch.
type TokensUsed struct {
	Team   spec.TeamID
	Tokens int
}

// SetDuties tells which duties there are; it replaces the former ones.
type SetDuties struct {
	Duties []DutySpec
}

// DutySpec is a duty and among whom it is spread: the own data centre or all
// that can be reached.
type DutySpec struct {
	Name  string
	Scope news.Scope
}

// Stop begins the graceful stop: duties and watches pass on. HandedOver tells
// when that is done; the instance goes on speaking with the others.
type Stop struct{}

// Leave ends the graceful stop once nothing is in progress: the others are
// told before this instance falls silent. Done tells when they know.
type Leave struct{}

func (DiscoveryList) event()  {}
func (Received) event()       {}
func (ConnectionLost) event() {}
func (Publish) event()        {}
func (TokensUsed) event()     {}
func (SetDuties) event()      {}
func (Stop) event()           {}
func (Leave) event()          {}

// Command is something that the logic wants done outside.
type Command interface{ command() }

// Send gives a message to another instance; it may be lost.
type Send struct {
	To   spec.InstanceID
	URL  string
	Data []byte
}

// Deliver hands over an item of another instance that is new here.
type Deliver struct {
	Item news.Item
}

// ExpirePeer tells that the items of an instance count no more: it died, left or
// restarted.
type ExpirePeer struct {
	Peer spec.InstanceID
}

// Watch tells which engines this instance reads the reports of from now on.
type Watch struct {
	Engines []spec.UpstreamID
	// Primary are those of Engines of which it also tells the others; for the
	// rest it stands by.
	Primary []spec.UpstreamID
}

// Duty tells whether this instance should hold a duty, by rendezvous over the
// live ones; it acts only once it also holds the duty's lease.
type Duty struct {
	Name     string
	Assigned bool
}

// TeamUsage tells the use of a heavy team over the fleet, the own use among it,
// in tokens a second.
type TeamUsage struct {
	Team spec.TeamID
	Rate float64
}

// PeerEngineLoad tells what all other instances of the data centre have in flight
// on an engine.
type PeerEngineLoad struct {
	Engine spec.UpstreamID
	Active int
	Tokens int
}

// Members tells which other instances live, after each change.
type Members struct {
	Peers []Peer
}

// HandedOver tells that duties and watches passed on after Stop.
type HandedOver struct{}

// Left tells that the others know of the end after Quit.
type Left struct{}

// Ready tells that this instance knows what its peers know, so that it may
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
