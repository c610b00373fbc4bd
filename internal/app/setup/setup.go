// Package setup reads and checks the INI settings of an instance.
//
// It imports the INI library and the standard library. The commands load a
// File and hand it to the daemon; nothing later checks a setting again.
package setup

import "time"

//go:generate stringer -type=Goal -linecomment -output=goal_string.go
//go:generate stringer -type=Span -linecomment -output=span_string.go

// Goal is what a deployment weighs more where throughput and recovery time
// pull apart.
type Goal int

// The goals.
const (
	GoalThroughput Goal = iota // throughput
	GoalRecovery               // recovery
)

// Span is how far instances share the detail of engines, so that one chain may
// run over them.
type Span int

// The spans.
const (
	// SpanCentre suits data centres that hold whole models by themselves.
	SpanCentre Span = iota // datacentre
	// SpanRegion suits a few small data centres close to each other, which
	// hold a model only together. The deployment must be of one region.
	SpanRegion // region
)

// File is the settings of one instance.
type File struct {
	Instance Instance
	Listen   Listen
	Peers    []Peer
	Platform Platform
	TLS      TLS
	Limits   Limits
	Retry    Retry
	Times    Times
	Log      Log
	Trace    Trace
	Goal     Goal
	// Fenced says of each engine kind named whether its engines refuse an
	// order with an old fencing number. A kind that is not named is taken to
	// ignore the numbers.
	Fenced map[string]bool
}

// Instance is the section [instance].
type Instance struct {
	Name       string
	DataCentre string
	Region     string
	Span       Span
}

// Listen is the section [listen]: an IP number and port each. Peers may be
// empty for an instance that stands alone.
type Listen struct {
	Callers   string
	Peers     string
	Operators string
	// Ready answers the balancer, Metrics serves metrics. Mesh serves other
	// instances without TLS, which suits a network of the instances alone. All
	// may be empty.
	Ready   string
	Metrics string
	Mesh    string
}

// Peer is one line of the section [peers]: an instance and its address for
// other instances. The platform's list adds to these.
type Peer struct {
	Name    string
	Address string
}

// Platform is the section [platform].
type Platform struct {
	// Table, Objects and List are base URLs; Objects and List are that of the
	// table if they are left out.
	Table   string
	Objects string
	List    string
	// Watch is the time between two reads of the list and of the reports.
	Watch time.Duration
}

// TLS is the sections [tls callers], [tls peers] and [tls operators].
type TLS struct {
	Callers   Pair
	Peers     Pair
	Operators Pair
}

// Pair names the PEM files of one endpoint. With CA, the other side must show
// a certificate that it signed.
type Pair struct {
	Cert string
	Key  string
	CA   string
}

// Set reports whether the endpoint uses TLS.
func (p Pair) Set() bool { return p.Cert != "" }

// Limits is the section [limits].
type Limits struct {
	// Body and Header are the most bytes of a request's body and headers.
	Body   int64
	Header int64
	// Tokens is the most tokens of one answer.
	Tokens int
	// Streams is how many requests run at once on the instance, Team how many
	// of one team, and Connection how many on one HTTP/2 connection.
	Streams    int
	Team       int
	Connection int
	// Buffer is the most bytes kept for a caller that reads slower than its
	// answer is made.
	Buffer int64
	// Queue is the most model requests that wait for the routing logic.
	Queue int
	// Memory is what the process may take, in bytes; zero is not known.
	Memory int64
}

// Retry is the section [retry]: what all instances together may send again in
// a Window, as a part of the requests and a number on top of it.
type Retry struct {
	Ratio     float64
	Allowance int
	Window    time.Duration
}

// Times is the section [times]. None of them cuts a request that moves.
type Times struct {
	// Header is the longest wait for a request's headers.
	Header time.Duration
	// Body is the longest pause inside a request's body.
	Body time.Duration
	// Write is the longest pause of a caller that takes none of its answer.
	Write time.Duration
	// Idle is how long an unused connection stays open.
	Idle time.Duration
	// Comment is how long a stream is silent before a comment is sent, so
	// that proxies keep it open.
	Comment time.Duration
	// Grace is how long no new request must come before a stopping instance
	// closes its listener.
	Grace time.Duration
}

// Log is the section [log].
type Log struct {
	// Level is debug, info, warn or error.
	Level string
	// Format is json or console.
	Format string
}

// Trace is the section [trace]. Spans are off without a URL.
type Trace struct {
	// URL is where spans go by OTLP over HTTP.
	URL string
	// Part is the share of requests that are traced if the caller does not
	// say; from 0 to 1.
	Part float64
}

// Default returns the settings that hold where a file is silent.
func Default() File {
	return File{
		Listen:   Listen{Operators: "127.0.0.1:7070"},
		Platform: Platform{Watch: time.Second},
		Limits: Limits{
			Body: 4 << 20, Header: 32 << 10, Tokens: 32768,
			Streams: 4096, Team: 1024, Connection: 128, Buffer: 256 << 10, Queue: 8192,
		},
		Retry: Retry{Ratio: 0.1, Allowance: 10, Window: 10 * time.Second},
		Times: Times{
			Header: 10 * time.Second, Body: 15 * time.Second, Write: 30 * time.Second,
			Idle: 2 * time.Minute, Comment: 15 * time.Second, Grace: 5 * time.Second,
		},
		Log:   Log{Level: "info", Format: "json"},
		Trace: Trace{Part: 0.01},
	}
}
