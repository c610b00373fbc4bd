package mesh

import (
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/crash"
	"fulmarwick/internal/route/limit"
	"fulmarwick/internal/route/path"
	"fulmarwick/internal/route/resend"
	"fulmarwick/internal/route/share"
	"fulmarwick/internal/state/feed"
)

// Message is what an instance sends to another one. Fields are exported because the
// CBOR codec fills them.
type Message struct {
	URL string `cbor:"1,keyasint"`
	// Usage is how much the sender's requests use, by service and engine.
	Usage map[string]map[spec.UpstreamID]path.Usage `cbor:"2,keyasint,omitempty"`
	// Versions is the version up to which the sender knows each table. Digests are the
	// digests of their contents.
	Versions map[string]spec.Revision `cbor:"3,keyasint,omitempty"`
	Digests  map[string]uint64        `cbor:"22,keyasint,omitempty"`
	// SyncAgeMs is how long ago the sender was last in sync with the store for all
	// tables, in milliseconds; negative if never.
	SyncAgeMs int64 `cbor:"4,keyasint"`
	// Silent are engines that did not answer the sender.
	Silent []spec.UpstreamID `cbor:"5,keyasint,omitempty"`
	// Tables are rows that the receiver lacks.
	Tables []Table `cbor:"6,keyasint,omitempty"`
	// Crashes are upstreams that died, with the requests that they ran.
	Crashes []crash.Event `cbor:"7,keyasint,omitempty"`
	// Slowdowns are the slowdown factors of engines that work slower than usual.
	Slowdowns map[spec.UpstreamID]float64 `cbor:"8,keyasint,omitempty"`
	// DataCentre is the data centre of the sender, Cell its cell. Head reports whether
	// it is one of the heads of the cell.
	DataCentre spec.DataCentre `cbor:"10,keyasint,omitempty"`
	Cell       string          `cbor:"11,keyasint,omitempty"`
	Head       bool            `cbor:"12,keyasint,omitempty"`
	// Scope is whose requests Usage, Slowdowns, Retries and Teams describe. Count is how many
	// instances these are.
	Scope Scope `cbor:"13,keyasint,omitempty"`
	Count int   `cbor:"14,keyasint,omitempty"`
	// Reply means that the message only answers messages of the receiver.
	Reply bool `cbor:"15,keyasint,omitempty"`
	// RosterDigest is the digest of the instances that the sender knows. Roster are all
	// instances that it knows, if the receiver's digest differs.
	RosterDigest uint64   `cbor:"16,keyasint,omitempty"`
	Roster       []Member `cbor:"17,keyasint,omitempty"`
	// Retries counts requests and retries, by service.
	Retries map[string]resend.Usage `cbor:"18,keyasint,omitempty"`
	// RateLimits is what the sender knows of the rate limits of upstreams, itself or from
	// others.
	RateLimits map[spec.UpstreamID]limit.Statement `cbor:"19,keyasint,omitempty"`
	// LinksLost means that the sender reaches no upstream.
	LinksLost bool `cbor:"20,keyasint,omitempty"`
	// TakesRequests means that the sender serves requests that others pass on. Former
	// versions do not.
	TakesRequests bool `cbor:"21,keyasint,omitempty"`
	// Starting means that the sender does not serve yet and wants each table that differs from
	// the receiver's.
	Starting bool `cbor:"23,keyasint,omitempty"`
	// Known is what the sender knows of crashes and restrictions, for a receiver that has just
	// joined. It is not passed on.
	Known []crash.Event `cbor:"24,keyasint,omitempty"`
	// Constrained means that the sender should not work for others.
	Constrained bool `cbor:"25,keyasint,omitempty"`
	// Teams is what the requests say of the teams of each service that share capacity over all
	// instances.
	Teams map[string]share.Usage `cbor:"26,keyasint,omitempty"`
}

// Scope is the set of instances whose requests a message describes.
type Scope int

//go:generate stringer -type=Scope -linecomment -output=scope_string.go

// Scopes of a message.
const (
	ScopeSender         Scope = iota // sender
	ScopeCell                        // cell of the sender
	ScopeAllButReceiver              // all but the receiver
	ScopeNone                        // none
)

// Table is the changes of a table since a version, or the whole table since 0. Version
// and Digest are those of its sender.
type Table struct {
	Name    string        `cbor:"1,keyasint"`
	Since   spec.Revision `cbor:"2,keyasint"`
	Version spec.Revision `cbor:"3,keyasint"`
	Rows    []feed.Row    `cbor:"4,keyasint"`
	Digest  uint64        `cbor:"5,keyasint,omitempty"`
	// RelayTo are instances to which the receiver has to relay the changes.
	RelayTo []spec.InstanceID `cbor:"6,keyasint,omitempty"`
	// Packed replaces Rows where they are large and the receiver is constrained.
	Packed []byte `cbor:"7,keyasint,omitempty"`
}

// checkpoint returns how much of a table the sender of a message knows; false if the
// message does not contain it.
func (m Message) checkpoint(table string) (feed.Checkpoint, bool) {
	digest, ok := m.Digests[table]
	return feed.Checkpoint{Version: m.Versions[table], Digest: digest}, ok
}

// LocalState provides the state of this instance to send. It is called on the goroutine
// that ticks.
type LocalState interface {
	// HasUrgent reports whether there is something to send before the next round.
	HasUrgent() bool
	// TakeChangedVersions returns, for each table that the store has changed since the
	// last call, the version of its last change.
	TakeChangedVersions() map[string]spec.Revision
	Usage() map[string]map[spec.UpstreamID]path.Usage
	// Checkpoints returns how much of each table is known.
	Checkpoints() map[string]feed.Checkpoint
	// SyncAge returns how long ago this instance was last in sync with the store for
	// all tables; negative if never.
	SyncAge() time.Duration
	Slowdowns() map[spec.UpstreamID]float64
	Retries() map[string]resend.Usage
	Teams() map[string]share.Usage
	RateLimits() map[spec.UpstreamID]limit.Statement
	// ChangesSince returns the changes since a version, or the whole table since 0.
	ChangesSince(table string, version spec.Revision) (since spec.Revision, p feed.Page)
	// TakeFailures returns, since the last call, the engines found silent and the crashes
	// of upstreams with the requests that they ran.
	TakeFailures() (silent []spec.UpstreamID, crashes []crash.Event)
	// Known returns what an instance that joins has to know of crashes and restrictions.
	Known() []crash.Event
}

// Receiver receives the state of other instances. It is called on the goroutine that
// ticks.
type Receiver interface {
	// ReceiveUsage, ReceiveSlowdowns and ReceiveRetries receive how much the requests
	// of one or of several instances use, how slow engines are for them, and how often
	// they were sent. from names the source: an instance, a cell, or all.
	ReceiveUsage(from spec.InstanceID, uses map[string]map[spec.UpstreamID]path.Usage)
	ReceiveSlowdowns(from spec.InstanceID, slowdowns map[spec.UpstreamID]float64)
	ReceiveRetries(from spec.InstanceID, retries map[string]resend.Usage)
	// ReceiveTeams receives what these requests say of teams.
	ReceiveTeams(from spec.InstanceID, teams map[string]share.Usage)
	// ReceiveRateLimits receives what another instance knows of the rate limits of upstreams.
	ReceiveRateLimits(limits map[spec.UpstreamID]limit.Statement)
	ReceiveRows(table string, since spec.Revision, rows []feed.Row, checkpoint feed.Checkpoint, from spec.InstanceID)
	// ReceiveCheckpoint receives how much of a table another instance knows.
	ReceiveCheckpoint(table string, checkpoint feed.Checkpoint)
	// ReceiveDigests receives the digests of all tables of an instance that serves, after its
	// rows and checkpoints.
	ReceiveDigests(digests map[string]uint64)
	// ReportLag is called when another instance has known a later version of a table
	// for so long that this one reads the store.
	ReportLag(table string, known, remote spec.Revision)
	ReceiveSilent(from spec.InstanceID, engines []spec.UpstreamID)
	ReceiveCrashes(from spec.InstanceID, crashes []crash.Event)
	// PeerJoined is called when messages from an instance begin to arrive, PeerLost
	// when none have arrived for peerTimeout.
	PeerJoined(id spec.InstanceID)
	PeerLost(id spec.InstanceID)
}
