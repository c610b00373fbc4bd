package mesh

import (
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/crash"
	"fulmarwick/internal/route/path"
	"fulmarwick/internal/route/resend"
	"fulmarwick/internal/state/feed"
)

// Message is what an instance tells another one. Fields are exported because
// the CBOR codec fills them.
type Message struct {
	URL string `cbor:"1,keyasint"`
	// Usage is what its requests take, by service and engine.
	Usage map[string]map[spec.UpstreamID]path.Usage `cbor:"2,keyasint,omitempty"`
	// Versions is up to where it knows each table, Digests of what it holds.
	Versions map[string]uint64 `cbor:"3,keyasint,omitempty"`
	Digests  map[string]uint64 `cbor:"9,keyasint,omitempty"`
	// SyncAgeMs is how long ago the store last told it of all tables, in
	// milliseconds; negative if it never did.
	SyncAgeMs int64 `cbor:"4,keyasint"`
	// Dead are engines that did not answer it.
	Dead []spec.UpstreamID `cbor:"5,keyasint,omitempty"`
	// Tables are rows that the receiver lacks.
	Tables []Table `cbor:"6,keyasint,omitempty"`
	// Crashes are upstreams that died, with the requests that they ran.
	Crashes []crash.Event `cbor:"7,keyasint,omitempty"`
	// Slowdowns are engines that work slower than usual, and how many times.
	Slowdowns map[spec.UpstreamID]float64 `cbor:"8,keyasint,omitempty"`
	// DataCentre is that of the sender, Cell its cell, Head whether it is one of the
	// heads there.
	DataCentre spec.DataCentre `cbor:"10,keyasint,omitempty"`
	Cell       string          `cbor:"11,keyasint,omitempty"`
	Head       bool            `cbor:"12,keyasint,omitempty"`
	// Scope tells whose requests Uses and Paces are about, Count how many instances
	// that are.
	Scope Scope `cbor:"13,keyasint,omitempty"`
	Count int   `cbor:"14,keyasint,omitempty"`
	// Reply tells that the message only answers those of the receiver.
	Reply bool `cbor:"15,keyasint,omitempty"`
	// RosterDigest is the digest of the instances that the sender knows, Roster those that
	// the receiver seems to lack.
	RosterDigest uint64   `cbor:"16,keyasint,omitempty"`
	Roster       []Member `cbor:"17,keyasint,omitempty"`
	// Retries is how often requests were sent, by service.
	Retries map[string]resend.Usage `cbor:"18,keyasint,omitempty"`
}

// Scope is whose requests a message is about.
type Scope int

//go:generate stringer -type=Scope -linecomment -output=scope_string.go

// The scopes.
const (
	ScopeSender         Scope = iota // sender
	ScopeCell                        // cell of the sender
	ScopeAllButReceiver              // all but the receiver
	ScopeNone                        // none
)

// Table is the changes of a table after a version, all of it after 0. Version and
// Digest are those of its sender.
type Table struct {
	Name    string     `cbor:"1,keyasint"`
	Since   uint64     `cbor:"2,keyasint"`
	Version uint64     `cbor:"3,keyasint"`
	Rows    []feed.Row `cbor:"4,keyasint"`
	Digest  uint64     `cbor:"5,keyasint,omitempty"`
	// RelayTo are instances that the receiver is to tell.
	RelayTo []spec.InstanceID `cbor:"6,keyasint,omitempty"`
}

// checkpoint is how much of a table the sender of a message knows; false if it does not
// say.
func (m Message) checkpoint(table string) (feed.Checkpoint, bool) {
	digest, ok := m.Digests[table]
	return feed.Checkpoint{Version: m.Versions[table], Digest: digest}, ok
}

// LocalState gives what this instance has to tell. It is called on the goroutine
// that ticks.
type LocalState interface {
	// HasUrgent tells that there is something to tell before the next beat.
	HasUrgent() bool
	// TakeChangedVersions is the version of the last change of each table of which the store told
	// since the last call.
	TakeChangedVersions() map[string]uint64
	Usage() map[string]map[spec.UpstreamID]path.Usage
	// Checkpoints is how much is known of each table.
	Checkpoints() map[string]feed.Checkpoint
	// SyncAge is how long ago the store last told of all tables; negative if never.
	SyncAge() time.Duration
	Slowdowns() map[spec.UpstreamID]float64
	Retries() map[string]resend.Usage
	// ChangesSince returns the changes after a version, or the whole table since 0.
	ChangesSince(table string, version uint64) (since uint64, p feed.Page)
	// TakeFailures returns the engines found dead and the deaths of upstreams with the
	// requests that they ran since the last call.
	TakeFailures() (dead []spec.UpstreamID, crashes []crash.Event)
}

// Receiver is told what others tell. It is called on the goroutine that ticks.
type Receiver interface {
	// Used, Paced and Repeated take what the requests of one instance or of several
	// take, how slow engines are for them, and how often they were sent. from names
	// them: an instance, a cell, or all.
	ReceiveUsage(from spec.InstanceID, uses map[string]map[spec.UpstreamID]path.Usage)
	ReceiveSlowdowns(from spec.InstanceID, paces map[spec.UpstreamID]float64)
	ReceiveRetries(from spec.InstanceID, repeats map[string]resend.Usage)
	ReceiveRows(table string, since uint64, rows []feed.Row, m feed.Checkpoint, from spec.InstanceID)
	// ReceiveCheckpoint tells how much another instance knows.
	ReceiveCheckpoint(table string, m feed.Checkpoint)
	// ReportLag tells that another instance knows a table up to a later version for
	// so long that this one reads the store.
	ReportLag(table string, known, there uint64)
	ReceiveDead(from spec.InstanceID, engines []spec.UpstreamID)
	ReceiveCrashes(from spec.InstanceID, deaths []crash.Event)
	// PeerJoined tells that an instance is heard, Missed that it fell silent.
	PeerJoined(id spec.InstanceID)
	PeerLost(id spec.InstanceID)
}
