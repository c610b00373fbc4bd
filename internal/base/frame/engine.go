package frame

// LoadedLayers is a range of a model's layers that an engine has loaded.
type LoadedLayers struct {
	Model   string `json:"model"`
	Version string `json:"version"`
	Depth   int    `json:"depth"`
	From    int    `json:"from"`
	To      int    `json:"to"`
	// Width is the size in bytes of the hidden state passed between layers, for one
	// position.
	Width int `json:"width,omitempty"`
}

// Engine is the body of GET /v1/engine: an engine's properties, the layers that it
// has loaded and its load at Seq. Reports lag behind the engine; of two reports, the
// one with the higher Seq is the later.
type Engine struct {
	Name       string         `json:"name"`
	DataCentre string         `json:"datacentre"`
	Kind       string         `json:"kind"`
	Holds      []LoadedLayers `json:"holds"`
	// Layer is the time in nanoseconds that one token takes to run through one layer.
	Layer int64 `json:"layer"`
	// Slots is the number of requests that the engine batches at once.
	Slots int `json:"slots"`
	// Memory is the number of layers that fit in the engine's memory.
	Memory int `json:"memory"`
	// Cache is the number of tokens that fit in the KV cache.
	Cache  int    `json:"cache"`
	Fenced bool   `json:"fenced"`
	State  string `json:"state"`
	Role   string `json:"role,omitempty"`
	// Incarnation changes with each restart of the engine, which loses all request
	// states.
	Incarnation uint64 `json:"incarnation,omitempty"`
	Seq         uint64 `json:"seq"`
	// Fence is the highest fencing token of the load orders that the engine accepted.
	Fence  uint64 `json:"fence,omitempty"`
	Queued int    `json:"queued"`
	Active int    `json:"active"`
	Cached int    `json:"cached"`
	// Link is the latency in microseconds of one hop to the engine.
	Link int64 `json:"link"`
	// Bandwidth is the bandwidth of the link in bytes per second; zero means
	// unlimited.
	Bandwidth int64 `json:"bandwidth,omitempty"`
}

// States of an engine or of an upstream in the platform's list.
const (
	StateLive    = "live"
	StateLeaving = "leaving"
)

// Order is the body of POST /v1/orders, a load order. It states the layers and the
// role that the engine must end with, not the steps, so sending it again is safe.
type Order struct {
	Fence uint64         `json:"fence"`
	Holds []LoadedLayers `json:"holds"`
	Role  string         `json:"role,omitempty"`
}

// Event is one change of an engine's cache. The engine numbers its events with
// Seq without gaps.
type Event struct {
	Seq   uint64 `json:"seq"`
	Added bool   `json:"added"`
	Block uint64 `json:"block"`
}

// Events is the body of GET /v1/events?since=N: the events with a Seq above N. If
// the engine no longer has all events after N, Reset is true, Events is empty and
// Blocks lists the whole content of the cache at Seq.
type Events struct {
	Seq    uint64   `json:"seq"`
	Events []Event  `json:"events,omitempty"`
	Reset  bool     `json:"reset,omitempty"`
	Blocks []uint64 `json:"blocks,omitempty"`
}

// KV is the body of GET and PUT /v1/kv: the KV cache of a request's layer
// range after Pos positions. An import creates the state under Try with no steps
// run, so the first step after it has Seq 1 and starts at Pos.
type KV struct {
	Req   string `json:"req"`
	Model string `json:"model"`
	From  int    `json:"from"`
	To    int    `json:"to"`
	Try   uint32 `json:"try"`
	Pos   int    `json:"pos"`
	Data  []byte `json:"data"`
}

// HeaderIncarnation is the header of the WebSocket upgrade response that contains
// the engine's incarnation.
const HeaderIncarnation = "X-Incarnation"
