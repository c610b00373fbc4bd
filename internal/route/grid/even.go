package grid

import (
	"math"
	"slices"

	"fulmarwick/internal/base/site"
	"fulmarwick/internal/base/spec"
)

// evenGain is the part by which one move must lower the scarcity of memory. In
// 400 draws in which a quarter of the engines of three data centres is lost,
// moves of at least that much took the weakest layer from 0.59 to 0.72 of the
// mean (the worst twentieth from 0.25 to 0.57) with 1.2 loads a draw; half as
// many loads, at 0.03, left the worst at 0.52.
const evenGain = 0.02

// even moves the one engine that makes memory least scarce, if a move is worth
// its load. After engines were lost for good some layers have few engines, and
// requests are turned away for want of room there while others stand idle. It
// waits while an engine loads: what that brings is not there yet.
func even(m *site.Model, engines []Engine) []Order {
	memory := make([]float64, m.Layers)
	for _, e := range engines {
		if e.Loading {
			return nil
		}
		add(memory, e.Held, tokens(m, e.Card, e.Held.Len()))
	}
	best, at := scarcity(memory)*(1-evenGain), -1
	weakest := slices.Min(memory)
	var to spec.Layers
	for i, e := range engines {
		n := size(m, e.Card)
		if e.Held.Len() == 0 || n == 0 {
			continue
		}
		after := append([]float64(nil), memory...)
		add(after, e.Held, -tokens(m, e.Card, e.Held.Len()))
		held := heaviest(scarcities(after), n)
		add(after, held, tokens(m, e.Card, n))
		// A move that pays elsewhere may not leave less where there is least.
		if s := scarcity(after); s < best && slices.Min(after) >= weakest {
			best, at, to = s, i, held
		}
	}
	if at < 0 {
		return nil
	}
	return []Order{{ID: engines[at].ID, Layers: to}}
}

func add(memory []float64, held spec.Layers, tokens float64) {
	for l := held.From(); l < held.To(); l++ {
		memory[l] += tokens
	}
}

// scarcities grow most with the layers that have least memory.
func scarcities(memory []float64) []float64 {
	out := make([]float64, len(memory))
	for l, held := range memory {
		out[l] = 1 / math.Max(held, 1)
	}
	return out
}

// scarcity is that of all layers together.
func scarcity(memory []float64) float64 {
	sum := 0.0
	for _, s := range scarcities(memory) {
		sum += s
	}
	return sum
}
