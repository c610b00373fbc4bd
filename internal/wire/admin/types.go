package admin

import (
	"context"
	"strconv"
	"strings"

	"github.com/go-faster/errors"
)

// Status is the body of GET /v1/status: one instance as it sees itself and the
// rest. Times are in milliseconds.
type Status struct {
	Instance   string `json:"instance"`
	DataCentre string `json:"datacentre"`
	Region     string `json:"region"`
	// Build is the version of the program.
	Build string `json:"build"`
	// Goal is what the deployment weighs more.
	Goal  string `json:"goal"`
	Ready bool   `json:"ready"`
	// Stopping is true once the graceful stop began.
	Stopping bool `json:"stopping"`
	// Running is how many requests of callers are in progress.
	Running int `json:"running"`
	// Version is the configuration version in force.
	Version uint64   `json:"version"`
	Classes []Class  `json:"classes"`
	Engines []Engine `json:"engines"`
	// Leaving names the upstreams that get no new work.
	Leaving []string `json:"leaving"`
	// Placement is what the engines' layers are worth together; only the
	// instance that plans the data centre has it.
	Placement *Placement `json:"placement,omitempty"`
	// Instances are the others that this one knows of.
	Instances []Instance `json:"instances"`
}

// Placement compares what engines hold with the most that they could serve.
type Placement struct {
	// Part is the rate of what is held now over the bound that no placement
	// passes, Target that rate once all moves are done; 0 to 1.
	Part   float64 `json:"part"`
	Target float64 `json:"target"`
	// Missing is how many holders layers lack; a layer that nobody holds
	// counts a thousand.
	Missing int `json:"missing"`
	// Waiting and Loading are engines yet to be ordered and ordered; Stuck
	// are those that do not follow their orders.
	Waiting int `json:"waiting"`
	Loading int `json:"loading"`
	Stuck   int `json:"stuck"`
}

// Class is how a class was served over the last minutes.
type Class struct {
	Name string `json:"name"`
	Kind string `json:"kind"`
	// Percent is the target's, Attained what was reached of it.
	Percent  float64 `json:"percent"`
	Attained float64 `json:"attained"`
	Holds    bool    `json:"holds"`
	// Reliability is how many of 100 shall be answered at all, zero if nothing
	// was asked; Answered is how many were.
	Reliability float64 `json:"reliability"`
	Answered    float64 `json:"answered"`
	// Requests is how many ended over the last minutes.
	Requests int64 `json:"requests"`
	First    Times `json:"first"`
	Gap      Times `json:"gap"`
	Whole    Times `json:"whole"`
}

// Times are a limit and what was measured against it, in milliseconds. A
// limit of zero is none.
type Times struct {
	Limit float64 `json:"limit"`
	P50   float64 `json:"p50"`
	P95   float64 `json:"p95"`
	P99   float64 `json:"p99"`
}

// Engine is one engine as routing sees it.
type Engine struct {
	Name       string `json:"name"`
	DataCentre string `json:"datacentre"`
	Kind       string `json:"kind"`
	// State is serving, leaving or down.
	State  string `json:"state"`
	Layers string `json:"layers"`
	Active int    `json:"active"`
	Queued int    `json:"queued"`
	Slots  int    `json:"slots"`
	// Use is the share of the engine's slots that work, 0 to 1.
	Use float64 `json:"use"`
}

// Instance is another instance.
type Instance struct {
	Name       string `json:"name"`
	DataCentre string `json:"datacentre"`
	State      string `json:"state"`
	// Version is the configuration version in force there, as last heard.
	Version uint64 `json:"version"`
}

// Shown is the body of GET /v1/config: what is in force.
type Shown struct {
	Instance string `json:"instance"`
	Version  uint64 `json:"version"`
	// Document is the classes and teams as an INI document.
	Document string `json:"document"`
	// Instances tells the version in force on the others.
	Instances []Instance `json:"instances"`
}

// Change is one accepted change of the configuration.
type Change struct {
	Version uint64 `json:"version"`
	// ID names the change; in a conflict it is empty.
	ID string `json:"id,omitempty"`
	By string `json:"by"`
	// At is when it was accepted, in RFC 3339.
	At string `json:"at"`
	// Text says what changed, such as "class answer, team haulage".
	Text string `json:"text"`
}

// Draft is a change that an operator asks for.
type Draft struct {
	// Base is the version that the operator looked at. A row that changed
	// since makes a conflict.
	Base uint64
	By   string
	// Documents are INI documents by file name.
	Documents []Document
}

// Document is one INI document.
type Document struct {
	Name string `json:"name"`
	Text string `json:"text"`
}

// Applied is the answer to an accepted change.
type Applied struct {
	Version uint64 `json:"version"`
}

// Viewer gives the status of this instance.
type Viewer interface {
	Status(ctx context.Context) (Status, error)
}

// Drainer begins the graceful stop of this instance.
type Drainer interface {
	Begin()
	Running() int
}

// Config shows and changes the configuration. Errors of Apply are
// *ConflictError, *RefusedError, *UnsureError, or match ErrDown.
type Config interface {
	Show(ctx context.Context) (Shown, error)
	History(ctx context.Context, limit int) ([]Change, error)
	Apply(ctx context.Context, d Draft) (Applied, error)
}

// Errors of this package.
var (
	// ErrDown means that the platform's store is out of reach; nothing
	// changed.
	ErrDown = errors.New("admin: store out of reach")
	// ErrReach means that no instance answered at the URL.
	ErrReach = errors.New("admin: instance out of reach")
)

// ConflictError says that other changes came first. Nothing changed.
type ConflictError struct {
	Winners []Change
}

// Error names the winners, one a line.
func (e *ConflictError) Error() string {
	var b strings.Builder
	b.WriteString("admin: changed by others meanwhile")
	for _, w := range e.Winners {
		b.WriteString("\n  " + w.Text + ": version " + strconv.FormatUint(w.Version, 10) + " by " + w.By + " at " + w.At)
	}
	return b.String()
}

// UnsureError says that the store stopped answering during the change, which
// may have taken effect or do so yet. The history tells, by the change's ID.
type UnsureError struct {
	ID string
}

// Error names the change.
func (e *UnsureError) Error() string {
	return "admin: store's answer lost; look for change " + e.ID + " in the history"
}

// RefusedError lists all that is wrong with a change.
type RefusedError struct {
	Problems []string `json:"problems"`
}

// Error has a line per problem.
func (e *RefusedError) Error() string { return strings.Join(e.Problems, "\n") }
