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
}

// Event is something that happened outside.
type Event interface{ event() }

// Listed tells who should be there, by the platform's lagging list and the
// settings. It is a hint: an instance missing from it is not dead.
type Listed struct {
	Peers []Peer
	// Engines are the engines of the own data centre, to be watched.
	Engines []spec.UpstreamID
}

// Heard carries a message from another instance.
type Heard struct {
	From spec.InstanceID
	Data []byte
}

// Lost tells that a connection to another instance broke or could not be
// made.
type Lost struct {
	Peer spec.InstanceID
}

// Say spreads an item. Origin and Stamp are filled in.
type Say struct {
	Item news.Item
}

// Stop begins the graceful stop: duties and watches pass on and the others
// are told before this instance falls silent.
type Stop struct{}

func (Listed) event() {}
func (Heard) event()  {}
func (Lost) event()   {}
func (Say) event()    {}
func (Stop) event()   {}

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

// Expire tells that the items of an instance count no more: it died, left or
// restarted.
type Expire struct {
	Peer spec.InstanceID
}

// Watch tells which engines this instance reads the reports of from now on.
type Watch struct {
	Engines []spec.UpstreamID
}

// Duty tells whether this instance should hold a duty, by rendezvous over the
// live ones; it acts only once it also holds the duty's lease.
type Duty struct {
	Name string
	Mine bool
}

// Ready tells that this instance knows what its peers know, so that it may
// take decisions.
type Ready struct{}

func (Send) command()    {}
func (Deliver) command() {}
func (Expire) command()  {}
func (Watch) command()   {}
func (Duty) command()    {}
func (Ready) command()   {}
