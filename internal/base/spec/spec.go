// Package spec holds the plain values that every layer shares: names of
// things, layer ranges, chains, classes of work and their targets.
//
// It imports the standard library only and does no I/O. Every other package
// may import it.
package spec

// RequestID names one request of one caller, unique over the fleet.
type RequestID string

// UpstreamID names one upstream: a model engine or a plain service process.
type UpstreamID string

// InstanceID names one instance of fulmarwick.
type InstanceID string

// DataCentre names a data centre.
type DataCentre string

// TeamID names a team; it is the hash of the team's key, never the key.
type TeamID string

// ClassName names a class of work.
type ClassName string

// ModelName names a model that engines serve.
type ModelName string

// ServiceName names a plain service, such as payments.
type ServiceName string
