// Package site holds the types that describe a deployment: routes with their targets,
// services, teams, and the upstreams that serve them.
//
// Fields are exported because platform adapters fill them. A value must not be modified once
// it is shared: readers use it without a lock.
package site

import (
	"slices"
	"strings"
	"time"

	"fulmarwick/internal/base/spec"
)

//go:generate stringer -type=Kind -linecomment -output=kind_string.go

// Kind states whether requests of a route may be retried, and how they are answered.
type Kind int

// The kinds of routes.
const (
	// KindSafe requests are idempotent.
	KindSafe Kind = iota // safe
	// KindUnsafe requests may run at most once.
	KindUnsafe // unsafe
	// KindStream requests are answered with a stream of events. They may run at most once,
	// unless the route allows resuming a stream.
	KindStream // stream
)

// Share is one service of a route and the weight of its part of the requests.
type Share struct {
	Service string
	Weight  int
}

// Route matches requests by host and path prefix, and holds how they are served and with what
// targets.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Split lists the services that share the requests; at least one.
	Split []Share
	// Timeout is the maximum time to the complete answer; zero means no limit.
	Timeout time.Duration
	// TargetLatency is the longest time to the answer, or to its first event, that gets full
	// credit.
	TargetLatency time.Duration
	// TargetGap is the longest time between two events that gets full credit.
	TargetGap time.Duration
	// EventTimeout is how long callers wait for the first or the next event before they leave;
	// zero means unknown.
	EventTimeout time.Duration
	// MaxAttempts is the maximum number of upstreams on which one request may run.
	MaxAttempts int
	// Priority is the rank of the requests; 0 is served first.
	Priority int
	// AuthExempt means that requests need no API key.
	AuthExempt bool
	// Resumable means that another upstream may continue a stream that broke off.
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
	// MaxConns is how many connections one upstream accepts from all clients together.
	MaxConns int
	// Model describes the engines of a model service; nil for a plain service.
	Model *Model
}

// Team is a customer with its API keys.
type Team struct {
	Name string
	Keys []string
	// Priority, if set, overrides the priority of the route.
	Priority *int
}

// Limits restrict what callers may send and how long they may take for it.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	// HeaderTimeout is the maximum time in which a caller must send the headers.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection may stay unused.
	IdleTimeout time.Duration
}

// Config is one version of the operator's configuration.
type Config struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Teams    []Team
	Limits   Limits

	routesByHost   map[string][]*Route
	servicesByName map[string]*Service
	teamsByKey     map[string]*Team
	// ranks holds the ranks of the requests to model services whose routes differ in priority.
	ranks map[string]*ranks
}

// Index builds the lookup tables for Match, Service and TeamByKey. It must be called once,
// before the value is shared.
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
	c.ranks = map[string]*ranks{}
	for i := range c.Services {
		s := &c.Services[i]
		c.servicesByName[s.Name] = s
		if s.Model == nil {
			continue
		}
		if k := c.newRanks(s.Name); k != nil {
			c.ranks[s.Name] = k
		}
	}
	for i := range c.Teams {
		for _, key := range c.Teams[i].Keys {
			c.teamsByKey[key] = &c.Teams[i]
		}
	}
}

// Match returns the route of the host with the longest prefix of path, or nil. The port of the
// host is ignored, and so is the case of its letters.
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

// Service returns the service with the given name, or nil.
func (c *Config) Service(name string) *Service { return c.servicesByName[name] }

// RequiresKey reports whether callers must send an API key: they must once there are teams.
func (c *Config) RequiresKey() bool { return len(c.Teams) > 0 }

// TeamByKey returns the team that holds the API key, or nil.
func (c *Config) TeamByKey(key string) *Team { return c.teamsByKey[key] }

// Range is a range of layers that an engine holds, with its version.
// Its names are hashed as part of Upstream and must not change.
type Range struct {
	Layers  spec.Layers
	Version int
}

// State states whether an upstream accepts new requests.
type State int

//go:generate stringer -type=State -linecomment -output=state_string.go

// The states of an upstream.
const (
	StateReady    State = iota // ready
	StateDraining              // draining
)

// Upstream is one process that serves requests, as it registered itself.
//
// Instances of different builds compare hashes of its %+v form, so the names and order of the
// fields and the texts of their String methods must not change.
type Upstream struct {
	ID      spec.UpstreamID
	Service string
	Address string
	Centre  spec.DataCentre
	State   State
	Slots   int
	// Card is the name of an engine's accelerator card; empty for a plain upstream.
	Card string
	// Held is the range of layers that an engine holds; empty if it holds none.
	Held Range
	// Born is the start time of the process in Unix milliseconds. An upstream with the same
	// ID but another Born is a new process that kept no layers, requests or other state.
	Born int64
	// Row is the version of the row from which this value was decoded.
	Row spec.Revision
}

// Report is the status that an engine reports. It is a few hundred milliseconds old.
type Report struct {
	// Born is the start time of the process in Unix milliseconds; zero if not reported.
	Born    int64
	Held    Range
	Loading bool
	// OrdersAccepted is the number of orders that the engine accepted since its start.
	OrdersAccepted int
	// Active is the number of requests that run.
	Active int
	// Queued is the number of requests that wait.
	Queued int
	// KVUsed is the KV memory in use, in token-layers.
	KVUsed int
	// KVTotal is the whole KV memory, in token-layers.
	KVTotal int
	// Slowdown is the slowdown factor: 1 at the usual speed, more for a slow engine.
	Slowdown float64
	// Stalled lists the requests that wait for an engine later on their path.
	Stalled []StalledRequest
}

// StalledRequest is a request that waits for the engine at Address, later on its path.
type StalledRequest struct {
	Request string
	Address string
}
