// Package news defines the items that instances exchange.
//
// Fields are exported because the CBOR codec sets them. Package fleet/node distributes
// items; the daemon turns received items into events for the routing logic and the
// configuration.
package news

// Kind is the type of an item; it determines the type of its body.
type Kind int

//go:generate stringer -type=Kind -linecomment -output=kind_string.go

// The kinds.
const (
	KindHead    Kind = iota // head
	KindLeaving             // leaving
	KindPrint               // print
	KindRate                // rate
	KindLoad                // load
	KindSum                 // sum
	KindReport              // report
	KindLevel               // level
	KindDoubt               // doubt
	KindDown                // down
	KindReach               // reach
	KindLoads               // loads
	KindRates               // rates
)

// KindCount is the number of kinds.
const KindCount = KindRates + 1

// Scope defines which instances receive an item.
type Scope int

// The scopes.
const (
	// ScopeCentre limits an item to the data centre of its origin.
	ScopeCentre Scope = iota
	// ScopeFleet sends an item to every instance.
	ScopeFleet
)

// Item is a piece of state that an instance shares with others. Key identifies it
// among the items of the same kind and origin. A later item with the same kind, origin
// and key replaces an earlier one.
type Item struct {
	Kind   Kind   `cbor:"1,keyasint"`
	Key    string `cbor:"2,keyasint"`
	Origin string `cbor:"3,keyasint"`
	// Stamp orders the items of one origin, which increments it.
	Stamp uint64 `cbor:"4,keyasint"`
	Scope Scope  `cbor:"5,keyasint"`
	// TTL is the time to live in milliseconds, counted from when an instance
	// receives the item.
	TTL  int64  `cbor:"6,keyasint"`
	Body []byte `cbor:"7,keyasint,omitempty"`
}

// Bodies of the items, one type for each kind.
type (
	// Head is the configuration version in force at the origin.
	Head struct {
		Version uint64 `cbor:"1,keyasint"`
	}
	// Leaving reports that an upstream, named by the item's key, takes no new work.
	Leaving struct {
		Upstream string `cbor:"1,keyasint"`
	}
	// Fingerprint is the number of engines that died while they ran a request, which its
	// fingerprint identifies.
	Fingerprint struct {
		Fingerprint uint64 `cbor:"1,keyasint"`
		Crashes     int    `cbor:"2,keyasint"`
		// LastEngine is the last engine that died, or "" if it is not known.
		LastEngine string `cbor:"3,keyasint,omitempty"`
	}
	// Rate is the usage of a team with high usage at the origin, in tokens per
	// second.
	Rate struct {
		Team string  `cbor:"1,keyasint"`
		Rate float64 `cbor:"2,keyasint"`
	}
	// Load is the number of requests and tokens that the origin has in flight on an
	// engine.
	Load struct {
		Engine string `cbor:"1,keyasint"`
		Active int    `cbor:"2,keyasint"`
		Tokens int    `cbor:"3,keyasint"`
	}
	// FreeCapacity is the free capacity of the origin's data centre for a model, in tokens per
	// second.
	FreeCapacity struct {
		DataCentre string  `cbor:"1,keyasint"`
		Model      string  `cbor:"2,keyasint"`
		Free       float64 `cbor:"3,keyasint"`
	}
	// Report contains an engine's report, the JSON of frame.Engine. The instance that
	// polls the engine sends it.
	Report struct {
		Engine string `cbor:"1,keyasint"`
		URL    string `cbor:"2,keyasint"`
		Data   []byte `cbor:"3,keyasint"`
	}
	// LoadLevel contains the frequently changing values from the report of the engine
	// that the item's key names. It is the most frequent item, so its encoding is
	// compact.
	LoadLevel struct {
		_ struct{} `cbor:",toarray"`
		// Incarnation is the engine's incarnation. If it differs from the known one, the
		// engine restarted and lost all its state.
		Incarnation uint64
		Seq         uint64
		Queued      int
		Active      int
		Cached      int
	}
	// MissedPolls is the number of consecutive polls by the origin that an engine did not
	// answer. Zero withdraws earlier MissedPolls.
	MissedPolls struct {
		Engine string `cbor:"1,keyasint"`
		Misses int    `cbor:"2,keyasint,omitempty"`
	}
	// EngineDead reports that an engine is dead, or that it does not answer if Silent
	// is set. Reports of Incarnation with a Seq up to Seq are older than that, so no
	// instance marks it live because of them.
	EngineDead struct {
		Engine      string `cbor:"1,keyasint"`
		Incarnation uint64 `cbor:"2,keyasint,omitempty"`
		Seq         uint64 `cbor:"3,keyasint"`
		Silent      bool   `cbor:"4,keyasint,omitempty"`
	}
	// Reachability reports whether a gateway can reach the data centre that the item's key
	// names.
	Reachability struct {
		Unreachable bool `cbor:"1,keyasint,omitempty"`
	}
	// Loads contains, for each engine, the sum of the requests and tokens that the
	// instances of a data centre have in flight.
	Loads struct {
		Sums []LoadSum `cbor:"1,keyasint"`
	}
	// LoadSum is the sum for one engine.
	LoadSum struct {
		_      struct{} `cbor:",toarray"`
		Engine string
		Active int
		Tokens int
	}
	// Rates contains, for each of the teams with the highest usage in a data centre,
	// the sum over its instances.
	Rates struct {
		Sums []RateSum `cbor:"1,keyasint"`
	}
	// RateSum is the sum for one team, which is identified by its hash, in tokens per
	// second.
	RateSum struct {
		_    struct{} `cbor:",toarray"`
		Team uint64
		Rate float32
	}
)
