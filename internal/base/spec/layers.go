package spec

import "fmt"

// Layers is a half-open range of model layers [From, To).
type Layers struct {
	from, to int
}

// NewLayers returns the range [from, to).
func NewLayers(from, to int) Layers {
	return Layers{from: from, to: to}
}

// From returns the first layer of the range.
func (l Layers) From() int { return l.from }

// To returns the layer after the last one of the range.
func (l Layers) To() int { return l.to }

// Len returns the number of layers in the range; zero for an inverted range.
func (l Layers) Len() int { return max(0, l.to-l.from) }

// Covers reports whether every layer of other is in l.
func (l Layers) Covers(other Layers) bool {
	return l.from <= other.from && other.to <= l.to
}

// Within returns the part of the range that lies in a model of n layers, the empty range if
// none does.
func (l Layers) Within(n int) Layers {
	part := Layers{from: max(0, l.from), to: min(n, l.to)}
	if part.Len() == 0 {
		return Layers{}
	}
	return part
}

// Has reports whether layer n is in l.
func (l Layers) Has(n int) bool { return l.from <= n && n < l.to }

// String formats the range as "from-to". The end is not part of the range.
func (l Layers) String() string {
	return fmt.Sprintf("%d-%d", l.from, l.to)
}
