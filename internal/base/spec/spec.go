// Package spec holds the basic value types that all packages share: identifiers, layer ranges,
// chains, classes of requests and their targets.
//
// It imports only the standard library and does no I/O, so every other package may import it.
package spec

// RequestID identifies one request of one caller. It is unique across the fleet.
type RequestID string

// UpstreamID identifies one upstream: an engine or the process of a plain service.
type UpstreamID string

// InstanceID identifies one instance of fulmarwick.
type InstanceID string

// DataCentre is the name of a data centre.
type DataCentre string

// TeamID identifies a team. It is the hash of the team's API key, never the key itself.
type TeamID string

// ClassName is the name of a class of requests.
type ClassName string

// ModelName is the name of a model that engines serve.
type ModelName string

// ServiceName is the name of a plain service, such as payments.
type ServiceName string
