package site

import (
	"math"
	"reflect"
	"time"

	"fulmarwick/internal/base/spec"
)

// Card is a kind of accelerator.
type Card struct {
	Name string
	// MemoryMB is its memory.
	MemoryMB float64
	// StepFactor and Read say how many times longer than the reference card it takes
	// for a step and for reading a prompt.
	StepFactor    float64
	PrefillFactor float64
}

// Model describes the engines of a service: what they hold and what work
// costs on a reference card that holds all layers.
type Model struct {
	Slots  int
	Layers int
	// LayerMB is the memory of one layer, TokenBytes that of one token over
	// all layers.
	LayerMB    float64
	TokenBytes float64
	// StepsPerPass is how many steps a pass with writers makes.
	StepsPerPass int
	// Step, Writer and Context make up the time of a step: a part for itself,
	// one for each request that writes, one for each 1,000 tokens they hold.
	StepTime        time.Duration
	TimePerSequence time.Duration
	TimePer1kTokens time.Duration
	// PrefillRate is tokens of prompts per second.
	PrefillRate float64
	// PrefillChunk is the most prompt tokens read in a step.
	PrefillChunk int
	// TypicalPrompt and Answer are the usual sizes in tokens.
	TypicalPrompt int
	TypicalAnswer int
	// LoadTime is how long loading all layers takes; Loads is how many loads run
	// at full speed at once, zero where nothing is published.
	LoadTime         time.Duration
	MaxParallelLoads int
	Cards            []Card
	// ActivationBytes is what engines pass on for each token; PipeRate is the bytes
	// per second between data centres, which all requests share.
	ActivationBytes float64
	LinkRate        float64
	// Delays are one-way times between data centres.
	Delays []Delay
}

// Equal reports whether two models are the same in all that is known of them.
func (m *Model) Equal(o *Model) bool { return reflect.DeepEqual(m, o) }

// Delay is the one-way time between two data centres.
type Delay struct {
	From, To spec.DataCentre
	Time     time.Duration
}

// Card returns the card of that name; ok is false for one that is not listed.
func (m *Model) Card(name string) (c Card, ok bool) {
	for _, c := range m.Cards {
		if c.Name == name {
			return c, true
		}
	}
	return Card{}, false
}

// bytesPerMB is the bytes of a megabyte as memory of cards is counted.
const bytesPerMB = 1e6

// TokenLayerMB is the memory of one token in one layer.
func (m *Model) TokenLayerMB() float64 {
	return m.TokenBytes / float64(m.Layers) / bytesPerMB
}

// KVCapacity is the memory that a card has left beside so many layers, in tokens
// times layers; negative if they do not fit. Where tokens have no published
// size, memory never runs out.
func (m *Model) KVCapacity(c Card, layers int) int {
	if m.TokenBytes <= 0 && float64(layers)*m.LayerMB <= c.MemoryMB {
		return math.MaxInt32
	}
	return int((c.MemoryMB - float64(layers)*m.LayerMB) / m.TokenLayerMB())
}

// MaxLayers is how many layers fit on the card at all.
func (m *Model) MaxLayers(c Card) int {
	return min(m.Layers, int(c.MemoryMB/m.LayerMB))
}

// TransferTime is the time that the activations of so many tokens take to another
// data centre.
func (m *Model) TransferTime(tokens int) time.Duration {
	if m.LinkRate <= 0 {
		return 0
	}
	return time.Duration(float64(tokens) * m.ActivationBytes / m.LinkRate * float64(time.Second))
}

// Delay is the one-way time between two data centres; zero inside one.
func (m *Model) Delay(a, b spec.DataCentre) time.Duration {
	for _, d := range m.Delays {
		if d.From == a && d.To == b || d.From == b && d.To == a {
			return d.Time
		}
	}
	return 0
}
