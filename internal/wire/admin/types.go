package admin

import (
	"context"
	"strconv"
	"strings"

	"github.com/go-faster/errors"
)

// Status is the body of GET /v1/status: the state of one instance and its view
// of the others. Times are in milliseconds.
type Status struct {
	Instance   string `json:"instance"`
	DataCentre string `json:"datacentre"`
	Region     string `json:"region"`
	// Build is the version of the program.
	Build string `json:"build"`
	// Goal is the optimization goal to which the deployment gives priority.
	Goal  string `json:"goal"`
	Ready bool   `json:"ready"`
	// Stopping is true once the graceful shutdown began.
	Stopping bool `json:"stopping"`
	// Running is the number of requests of callers in progress.
	Running int `json:"running"`
	// Version is the configuration version in force.
	Version uint64   `json:"version"`
	Classes []Class  `json:"classes"`
	Engines []Engine `json:"engines"`
	// Leaving lists the upstreams that get no new work.
	Leaving []string `json:"leaving"`
	// Placement rates the current placement of layers on the engines. Only the
	// instance that plans the data centre has it.
	Placement *Placement `json:"placement,omitempty"`
	// Instances are the other known instances.
	Instances []Instance `json:"instances"`
}

// Placement compares the layers held by the engines with the best possible
// placement.
type Placement struct {
	// Part is the rate of the current placement divided by an upper bound for
	// all placements. Target is the same ratio once all moves are done. Both
	// are 0 to 1.
	Part   float64 `json:"part"`
	Target float64 `json:"target"`
	// Missing is the number of replicas that layers lack; a layer without any
	// replica counts as a thousand.
	Missing int `json:"missing"`
	// Waiting is the number of engines that have yet to get a load order,
	// Loading the number of engines that got one. Stuck is the number of
	// engines that do not follow their load orders.
	Waiting int `json:"waiting"`
	Loading int `json:"loading"`
	Stuck   int `json:"stuck"`
}

// Class is the service level of a class over the last minutes.
type Class struct {
	Name string `json:"name"`
	Kind string `json:"kind"`
	// Percent is the percentage required by the target, Attained the percentage
	// reached.
	Percent  float64 `json:"percent"`
	Attained float64 `json:"attained"`
	Holds    bool    `json:"holds"`
	// Reliability is the required percentage of requests that are answered at
	// all, zero if none is required; Answered is the percentage that was
	// answered.
	Reliability float64 `json:"reliability"`
	Answered    float64 `json:"answered"`
	// Requests is the number of requests that ended over the last minutes.
	Requests int64 `json:"requests"`
	First    Times `json:"first"`
	Gap      Times `json:"gap"`
	Whole    Times `json:"whole"`
}

// Times holds a limit and the values measured against it, in milliseconds. A
// limit of zero means that there is none.
type Times struct {
	Limit float64 `json:"limit"`
	P50   float64 `json:"p50"`
	P95   float64 `json:"p95"`
	P99   float64 `json:"p99"`
}

// Engine is the state of one engine as the routing logic sees it.
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
	// Use is the share of the engine's slots in use, 0 to 1.
	Use float64 `json:"use"`
}

// Instance is the state of another instance.
type Instance struct {
	Name       string `json:"name"`
	DataCentre string `json:"datacentre"`
	State      string `json:"state"`
	// Version is the configuration version in force there, as last reported.
	Version uint64 `json:"version"`
}

// Shown is the body of GET /v1/config: the configuration in force.
type Shown struct {
	Instance string `json:"instance"`
	Version  uint64 `json:"version"`
	// Document contains the classes and teams as an INI document.
	Document string `json:"document"`
	// Instances are the other instances with the versions in force there.
	Instances []Instance `json:"instances"`
}

// Change is one accepted change of the configuration.
type Change struct {
	Version uint64 `json:"version"`
	// ID identifies the change; it is empty in a conflict.
	ID string `json:"id,omitempty"`
	By string `json:"by"`
	// At is when the change was accepted, in RFC 3339 format.
	At string `json:"at"`
	// Text describes the change, such as "class answer, team haulage".
	Text string `json:"text"`
}

// Draft is a change submitted by an operator.
type Draft struct {
	// Base is the version that the operator edited. If a row was changed since
	// then, the draft conflicts.
	Base uint64
	By   string
	// Documents are INI documents with their file names.
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

// Viewer returns the status of this instance.
type Viewer interface {
	Status(ctx context.Context) (Status, error)
}

// Drainer starts the graceful shutdown of this instance.
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
	// ErrDown means that the platform's store is unreachable; nothing was
	// changed.
	ErrDown = errors.New("admin: store out of reach")
	// ErrReach means that no instance answered at the URL.
	ErrReach = errors.New("admin: instance out of reach")
)

// ConflictError reports that other changes were accepted first. Nothing was
// changed.
type ConflictError struct {
	Winners []Change
}

// Error lists the accepted changes, one per line.
func (e *ConflictError) Error() string {
	var b strings.Builder
	b.WriteString("admin: changed by others meanwhile")
	for _, w := range e.Winners {
		b.WriteString("\n  " + w.Text + ": version " + strconv.FormatUint(w.Version, 10) + " by " + w.By + " at " + w.At)
	}
	return b.String()
}

// UnsureError reports that the store stopped answering during the change, which
// may have taken effect or may still do so. The history shows it under the
// change's ID.
type UnsureError struct {
	ID string
}

// Error returns a message with the ID of the change.
func (e *UnsureError) Error() string {
	return "admin: store's answer lost; look for change " + e.ID + " in the history"
}

// RefusedError lists all problems of a change.
type RefusedError struct {
	Problems []string `json:"problems"`
}

// Error returns one problem per line.
func (e *RefusedError) Error() string { return strings.Join(e.Problems, "\n") }
