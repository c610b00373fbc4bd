// Package news holds the items that spread between instances.
//
// Fields are exported because the CBOR codec fills them. Package node of the
// fleet spreads items; the daemon turns received ones into events for the
// routing logic and the configuration.
package news

// Kind says what an item tells.
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

// Kinds is how many kinds there are.
const Kinds = KindRates + 1

// Scope says how far an item goes.
type Scope int

// The scopes.
const (
	// ScopeCentre keeps an item inside its data centre.
	ScopeCentre Scope = iota
	// ScopeFleet takes an item to every instance.
	ScopeFleet
)

// Item is one thing that an instance knows and others should. Key names it
// among the items of its kind and origin; a later item with the same kind,
// origin and key replaces an earlier one.
type Item struct {
	Kind   Kind   `cbor:"1,keyasint"`
	Key    string `cbor:"2,keyasint"`
	Origin string `cbor:"3,keyasint"`
	// Stamp orders items of one origin; the origin counts it up.
	Stamp uint64 `cbor:"4,keyasint"`
	Scope Scope  `cbor:"5,keyasint"`
	// Life is how many milliseconds the item counts after it was heard.
	Life int64  `cbor:"6,keyasint"`
	Body []byte `cbor:"7,keyasint,omitempty"`
}

// The bodies of the kinds.
type (
	// Head tells the configuration version that its origin has in force.
	Head struct {
		Version uint64 `cbor:"1,keyasint"`
	}
	// Leaving tells that an upstream, the key, takes no new work.
	Leaving struct {
		Upstream string `cbor:"1,keyasint"`
	}
	// Print tells how many engines died while running a request.
	Print struct {
		Print   uint64 `cbor:"1,keyasint"`
		Crashes int    `cbor:"2,keyasint"`
		// Engine is the last that died; "" if not known.
		Engine string `cbor:"3,keyasint,omitempty"`
	}
	// Rate tells the origin's use by a heavy team, in tokens a second.
	Rate struct {
		Team string  `cbor:"1,keyasint"`
		Rate float64 `cbor:"2,keyasint"`
	}
	// Load tells what the origin has in flight on an engine.
	Load struct {
		Engine string `cbor:"1,keyasint"`
		Active int    `cbor:"2,keyasint"`
		Tokens int    `cbor:"3,keyasint"`
	}
	// Sum tells what the origin's data centre can still take of a model, in
	// tokens a second.
	Sum struct {
		DataCentre string  `cbor:"1,keyasint"`
		Model      string  `cbor:"2,keyasint"`
		Free       float64 `cbor:"3,keyasint"`
	}
	// Report carries an engine's report, the JSON of frame.Engine, from the
	// instance that watches it.
	Report struct {
		Engine string `cbor:"1,keyasint"`
		URL    string `cbor:"2,keyasint"`
		Data   []byte `cbor:"3,keyasint"`
	}
	// Level is what changes all the time in the report of the engine that the
	// item's key names. It is the most frequent item, so it is kept short.
	Level struct {
		_ struct{} `cbor:",toarray"`
		// Born is the engine's incarnation: another one means that it lost all.
		Born   uint64
		Seq    uint64
		Queued int
		Active int
		Cached int
	}
	// Doubt tells how many of the origin's polls in a row an engine missed;
	// zero takes an earlier doubt back.
	Doubt struct {
		Engine string `cbor:"1,keyasint"`
		Misses int    `cbor:"2,keyasint,omitempty"`
	}
	// Down tells that an engine is lost. Reports of incarnation Born up to Seq
	// are from before and bring it back nowhere.
	Down struct {
		Engine string `cbor:"1,keyasint"`
		Born   uint64 `cbor:"2,keyasint,omitempty"`
		Seq    uint64 `cbor:"3,keyasint"`
	}
	// Reach tells whether a gateway can reach the data centre, the key.
	Reach struct {
		Cut bool `cbor:"1,keyasint,omitempty"`
	}
	// Loads adds up what a data centre's instances have in flight.
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
	// Rates adds up a data centre's use by its heaviest teams.
	Rates struct {
		Sums []RateSum `cbor:"1,keyasint"`
	}
	// RateSum is the sum for one team, named by its hash, in tokens a second.
	RateSum struct {
		_    struct{} `cbor:",toarray"`
		Team uint64
		Rate float32
	}
)
