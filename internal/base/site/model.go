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
	// MB is its memory.
	MB float64
	// Pace and Read say how many times longer than the reference card it takes
	// for a step and for reading a prompt.
	Pace float64
	Read float64
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
	// Stride is how many steps a pass with writers makes.
	Stride int
	// Step, Writer and Context make up the time of a step: a part for itself,
	// one for each request that writes, one for each 1,000 tokens they hold.
	Step    time.Duration
	Writer  time.Duration
	Context time.Duration
	// ReadRate is tokens of prompts per second.
	ReadRate float64
	// Chunk is the most prompt tokens read in a step.
	Chunk int
	// Prompt and Answer are the usual sizes in tokens.
	Prompt int
	Answer int
	// Load is how long loading all layers takes; Loads is how many loads run
	// at full speed at once, zero where nothing is published.
	Load  time.Duration
	Loads int
	Cards []Card
	// ActBytes is what engines pass on for each token; PipeRate is the bytes
	// per second between data centres, which all requests share.
	ActBytes float64
	PipeRate float64
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

// mb is the bytes of a megabyte as memory of cards is counted.
const mb = 1e6

// CellMB is the memory of one token in one layer.
func (m *Model) CellMB() float64 {
	return m.TokenBytes / float64(m.Layers) / mb
}

// Cells is the memory that a card has left beside so many layers, in tokens
// times layers; negative if they do not fit. Where tokens have no published
// size, memory never runs out.
func (m *Model) Cells(c Card, layers int) int {
	if m.TokenBytes <= 0 && float64(layers)*m.LayerMB <= c.MB {
		return math.MaxInt32
	}
	return int((c.MB - float64(layers)*m.LayerMB) / m.CellMB())
}

// Most is how many layers fit on the card at all.
func (m *Model) Most(c Card) int {
	return min(m.Layers, int(c.MB/m.LayerMB))
}

// Crossing is the time that the activations of so many tokens take to another
// data centre.
func (m *Model) Crossing(tokens int) time.Duration {
	if m.PipeRate <= 0 {
		return 0
	}
	return time.Duration(float64(tokens) * m.ActBytes / m.PipeRate * float64(time.Second))
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
