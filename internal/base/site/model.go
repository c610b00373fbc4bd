package site

import (
	"math"
	"reflect"
	"time"

	"fulmarwick/internal/base/spec"
)

// Card is a type of accelerator card.
type Card struct {
	Name string
	// MemoryMB is the memory of the card in MB of 1e6 bytes.
	MemoryMB float64
	// StepFactor is the time of a step relative to the reference card.
	StepFactor float64
	// PrefillFactor is the time of a prefill relative to the reference card.
	PrefillFactor float64
}

// Model describes the engines of a service: the size of what they hold in memory, and how
// long work takes on a reference card that holds all layers.
type Model struct {
	Slots  int
	Layers int
	// LayerMB is the memory of one layer.
	LayerMB float64
	// TokenBytes is the KV memory of one token over all layers; zero if it is not published.
	TokenBytes float64
	// StepsPerPass is the number of steps in one pass while requests are decoding.
	StepsPerPass int
	// StepTime is the fixed part of the time of a step.
	StepTime time.Duration
	// TimePerSequence is added to a step for each request that is decoding.
	TimePerSequence time.Duration
	// TimePer1kTokens is added to a step for each 1,000 tokens that these requests hold.
	TimePer1kTokens time.Duration
	// PrefillRate is the prefill speed in prompt tokens per second.
	PrefillRate float64
	// PrefillChunk is the maximum number of prompt tokens prefilled in one step.
	PrefillChunk int
	// TypicalPrompt is the usual size of a prompt in tokens.
	TypicalPrompt int
	// TypicalAnswer is the usual size of an answer in tokens.
	TypicalAnswer int
	// LoadTime is the time to load all layers.
	LoadTime time.Duration
	// MaxParallelLoads is how many loads can run at full speed at the same time; zero if it is
	// not published.
	MaxParallelLoads int
	Cards            []Card
	// ActivationBytes is the size of the activations that an engine sends to the next one for
	// each token.
	ActivationBytes float64
	// LinkRate is the bandwidth between data centres in bytes per second, shared by all
	// requests.
	LinkRate float64
	// Delays are the one-way network delays between data centres.
	Delays []Delay
}

// Equal reports whether two models are equal in all fields.
func (m *Model) Equal(other *Model) bool { return reflect.DeepEqual(m, other) }

// Delay is the one-way network delay between two data centres.
type Delay struct {
	From, To spec.DataCentre
	Time     time.Duration
}

// Card returns the card with the given name; ok is false if it is not listed.
func (m *Model) Card(name string) (c Card, ok bool) {
	for _, c := range m.Cards {
		if c.Name == name {
			return c, true
		}
	}
	return Card{}, false
}

// bytesPerMB is the number of bytes in a megabyte; the memory of cards is counted in these.
const bytesPerMB = 1e6

// TokenLayerMB returns the KV memory of one token in one layer.
func (m *Model) TokenLayerMB() float64 {
	return m.TokenBytes / float64(m.Layers) / bytesPerMB
}

// KVCapacity returns the KV memory that remains on a card with this many layers loaded, in
// token-layers; negative if the layers do not fit. If the size of tokens is not published, KV
// memory counts as unlimited.
func (m *Model) KVCapacity(c Card, layers int) int {
	if m.TokenBytes <= 0 && float64(layers)*m.LayerMB <= c.MemoryMB {
		return math.MaxInt32
	}
	return int((c.MemoryMB - float64(layers)*m.LayerMB) / m.TokenLayerMB())
}

// MaxLayers returns the maximum number of layers that fit on the card, without KV memory.
func (m *Model) MaxLayers(c Card) int {
	return min(m.Layers, int(c.MemoryMB/m.LayerMB))
}

// TransferTime returns how long it takes to transfer the activations of this many tokens to
// another data centre, without the network delay; zero if the bandwidth is not published.
func (m *Model) TransferTime(tokens int) time.Duration {
	if m.LinkRate <= 0 {
		return 0
	}
	return time.Duration(float64(tokens) * m.ActivationBytes / m.LinkRate * float64(time.Second))
}

// Delay returns the one-way network delay between two data centres, listed in either
// direction; zero within one data centre or if it is not listed.
func (m *Model) Delay(a, b spec.DataCentre) time.Duration {
	for _, d := range m.Delays {
		if d.From == a && d.To == b || d.From == b && d.To == a {
			return d.Time
		}
	}
	return 0
}
