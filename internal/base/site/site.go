// Package site holds what a deployment is made of, as typed values: routes with
// their targets, services, teams, and the upstreams that serve them.
//
// Fields are exported because adapters of platforms fill them. Once a value is
// handed on it is not changed any more: readers share it without a lock.
package site

import (
	"slices"
	"strings"
	"time"

	"fulmarwick/internal/base/spec"
)

//go:generate stringer -type=Kind -linecomment -output=kind_string.go

// Kind says what may be done again with a request of a route.
type Kind int

// The kinds of routes.
const (
	// KindSafe requests are idempotent.
	KindSafe Kind = iota // safe
	// KindUnsafe requests may run once at most.
	KindUnsafe // unsafe
	// KindStream requests are answered by events. They may run once at most,
	// unless the route lets an answer be resumed.
	KindStream // stream
)

// Share is one service of a route and its part of the requests.
type Share struct {
	Service string
	Weight  int
}

// Route is a class of requests with its targets.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Split names the services; one of them or more.
	Split []Share
	// Timeout is the longest time to a final answer; zero is none.
	Timeout time.Duration
	// TargetLatency is the time to the answer, or to its first event, that earns full
	// credit; Gap the longest pause between events that does.
	TargetLatency time.Duration
	TargetGap     time.Duration
	// MaxAttempts is on how many upstreams one request may run.
	MaxAttempts int
	// Priority is the rank, 0 first.
	Priority int
	// AuthExempt routes need no key.
	AuthExempt bool
	// Resumable lets an answer be continued by another upstream.
	Resumable bool
}

// Retryable reports whether a request of the route may run more than once.
func (r *Route) Retryable() bool {
	return r.Kind == KindSafe || r.Kind == KindStream && r.Resumable
}

// Service is a group of upstreams that do the same work.
type Service struct {
	Name string
	// HealthPath is the path of the health check.
	HealthPath string
	// MaxConns is how many connections one upstream accepts from all callers.
	MaxConns int
	// Model describes the engines; nil for a plain service.
	Model *Model
}

// Team is a customer with keys.
type Team struct {
	Name string
	Keys []string
	// Priority goes before that of the route if it is set.
	Priority *int
}

// Limits bound what a caller may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	// HeaderTimeout is how long a caller may take for its headers, Idle how long a
	// connection may be unused.
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is all that the operator decides, at one version.
type Config struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Teams    []Team
	Limits   Limits

	routesByHost   map[string][]*Route
	servicesByName map[string]*Service
	teamsByKey     map[string]*Team
}

// Index builds the look-ups; call it once before the value is shared.
func (c *Config) Index() {
	c.routesByHost = map[string][]*Route{}
	c.servicesByName = map[string]*Service{}
	c.teamsByKey = map[string]*Team{}
	for i := range c.Routes {
		r := &c.Routes[i]
		host := strings.ToLower(r.Host)
		c.routesByHost[host] = append(c.routesByHost[host], r)
	}
	for _, routes := range c.routesByHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for i := range c.Services {
		c.servicesByName[c.Services[i].Name] = &c.Services[i]
	}
	for i := range c.Teams {
		for _, key := range c.Teams[i].Keys {
			c.teamsByKey[key] = &c.Teams[i]
		}
	}
}

// Match returns the route of the host with the longest prefix of path; nil if
// there is none.
func (c *Config) Match(host, path string) *Route {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	for _, r := range c.routesByHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Service returns the service of that name, or nil.
func (c *Config) Service(name string) *Service { return c.servicesByName[name] }

// RequiresKey reports whether callers must show a key.
func (c *Config) RequiresKey() bool { return len(c.Teams) > 0 }

// TeamByKey returns who holds the key, or nil.
func (c *Config) TeamByKey(key string) *Team { return c.teamsByKey[key] }

// Range is a range of layers as an engine holds it.
type Range struct {
	Layers  spec.Layers
	Version int
}

// State is whether an upstream takes new requests.
type State int

//go:generate stringer -type=State -linecomment -output=state_string.go

// The states.
const (
	StateReady    State = iota // ready
	StateDraining              // draining
)

// Upstream is one process that serves requests, as it registered itself.
type Upstream struct {
	ID      spec.UpstreamID
	Service string
	Address string
	Centre  spec.DataCentre
	State   State
	Slots   int
	// Card is the kind of accelerator of an engine, empty for plain ones.
	Card string
	// Held is what an engine holds; no layers if it is empty.
	Held Range
	// Born is the start of the process in Unix milliseconds: the same ID with
	// another Born holds and knows nothing of before.
	Born int64
	// Row is the version of the row that told of it.
	Row uint64
}

// Report is what an engine says of itself, some hundred milliseconds late. Born
// is zero if it does not say.
type Report struct {
	Born    int64
	Held    Range
	Loading bool
	// OrdersAccepted is how many orders the engine accepted since its start.
	OrdersAccepted int
	// Active requests run, Queued ones wait.
	Active int
	Queued int
	// KVUsed and Total are memory in tokens times layers.
	KVUsed  int
	KVTotal int
	// Slowdown is 1 for an engine at its usual speed, more for a slow one.
	Slowdown float64
	// StalledRequest are requests that wait for an engine further on.
	Stalled []StalledRequest
}

// StalledRequest is a request that waits for the engine at Address.
type StalledRequest struct {
	Request string
	Address string
}
