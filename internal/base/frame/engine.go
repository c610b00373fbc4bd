package frame

// Hold is a layer range of a model that an engine has loaded.
type Hold struct {
	Model   string `json:"model"`
	Version string `json:"version"`
	Depth   int    `json:"depth"`
	From    int    `json:"from"`
	To      int    `json:"to"`
	// Width is the bytes of one hidden value between layers.
	Width int `json:"width,omitempty"`
}

// Engine is the body of GET /v1/engine: what an engine is and holds, and how
// loaded it was at Seq. Reports lag; a higher Seq is a later report.
type Engine struct {
	Name       string `json:"name"`
	DataCentre string `json:"datacentre"`
	Kind       string `json:"kind"`
	Holds      []Hold `json:"holds"`
	// Layer is the time in nanoseconds for one token through one layer.
	Layer int64 `json:"layer"`
	// Slots is how many requests the engine batches at once.
	Slots int `json:"slots"`
	// Memory is how many layers fit; Cache is how many KV tokens fit.
	Memory int    `json:"memory"`
	Cache  int    `json:"cache"`
	Fenced bool   `json:"fenced"`
	State  string `json:"state"`
	Role   string `json:"role,omitempty"`
	// Incarnation changes with each restart; all states are gone then.
	Incarnation uint64 `json:"incarnation,omitempty"`
	Seq         uint64 `json:"seq"`
	// Fence is the highest fencing number of an order that was taken.
	Fence  uint64 `json:"fence,omitempty"`
	Queued int    `json:"queued"`
	Active int    `json:"active"`
	Cached int    `json:"cached"`
	// Link is the time in microseconds of one hop to the engine.
	Link int64 `json:"link"`
	// Bandwidth of the link is in bytes a second; zero is unbounded.
	Bandwidth int64 `json:"bandwidth,omitempty"`
}

// States of an engine or a listed upstream.
const (
	StateLive    = "live"
	StateLeaving = "leaving"
)

// Order is the body of POST /v1/orders: the state the engine must end in.
// It states the desired end, so repeating it is safe.
type Order struct {
	Fence uint64 `json:"fence"`
	Holds []Hold `json:"holds"`
	Role  string `json:"role,omitempty"`
}

// Event is one cache event; Seq has no gaps at the source.
type Event struct {
	Seq   uint64 `json:"seq"`
	Added bool   `json:"added"`
	Block uint64 `json:"block"`
}

// Events is the body of GET /v1/events?since=N: events with a Seq above N.
// With Reset, Blocks are the whole content at Seq and there are no Events:
// the engine no longer has what came after N.
type Events struct {
	Seq    uint64   `json:"seq"`
	Events []Event  `json:"events,omitempty"`
	Reset  bool     `json:"reset,omitempty"`
	Blocks []uint64 `json:"blocks,omitempty"`
}

// KV is the body of GET and PUT /v1/kv: the KV cache of a request's layer
// range after Pos positions. An import opens the state under Try with no step
// done, so that the first step after it is Seq 1 at Pos.
type KV struct {
	Req   string `json:"req"`
	Model string `json:"model"`
	From  int    `json:"from"`
	To    int    `json:"to"`
	Try   uint32 `json:"try"`
	Pos   int    `json:"pos"`
	Data  []byte `json:"data"`
}

// HeaderIncarnation is the header of the answer to the WebSocket upgrade that
// carries the engine's incarnation.
const HeaderIncarnation = "X-Incarnation"
