package path

import (
	"math"

	"fulmarwick/internal/base/spec"
)

// Use is what requests take of an engine.
type Use struct {
	// Streams is how many requests pass it.
	Streams int `cbor:"1,keyasint"`
	// Cells is the memory promised to them, in tokens times layers.
	Cells int `cbor:"2,keyasint"`
	// Unread is what is still to be read of their prompts, in tokens times
	// layers.
	Unread int `cbor:"3,keyasint"`
	// Spread is the variance of Cells.
	Spread float64 `cbor:"4,keyasint,omitempty"`
}

func (u *Use) add(o Use) {
	u.Streams += o.Streams
	u.Cells += o.Cells
	u.Unread += o.Unread
	u.Spread += o.Spread
}

// Plus is what both take together.
func (u Use) Plus(o Use) Use {
	u.add(o)
	return u
}

// Minus is what is left of u without a part of it.
func (u Use) Minus(o Use) Use { return u.Plus(o.times(-1)) }

// times is what n such requests take.
func (u Use) times(n int) Use {
	return Use{Streams: n * u.Streams, Cells: n * u.Cells, Unread: n * u.Unread, Spread: float64(n) * u.Spread}
}

// peak is the memory in tokens times layers that the requests take at most but
// for one moment in a thousand.
func (u Use) peak() float64 {
	return float64(u.Cells) + deviations*math.Sqrt(max(0, u.Spread))
}

// deviations is how many standard deviations above its mean a normal sum is
// once in a thousand moments.
const deviations = 3.09

// Need is what a request takes of each layer.
type Need struct {
	// Prompt is the tokens to read, Answer those to write.
	Prompt int
	Answer int
	// Hold is the tokens that the request holds at a moment of its run, Spread
	// their variance; zero stands for all tokens.
	Hold   float64
	Spread float64
	// Haste is set for an answer that was broken off: its caller has begun to
	// read, and waits for the next event, not for the last one.
	Haste bool
}

func (n Need) use(layers int, unread bool) Use {
	u := Use{Streams: 1, Cells: (n.Prompt + n.Answer) * layers}
	if n.Hold > 0 {
		u.Cells = int(n.Hold * float64(layers))
		u.Spread = n.Spread * float64(layers) * float64(layers)
	}
	if unread {
		u.Unread = n.Prompt * layers
	}
	return u
}

// Begin counts a request in on a chain of which it still reads the prompt.
func (t *Table) Begin(c spec.Chain, n Need) { t.count(c, n, true, 1) }

// Wrote tells that the prompt of a request is read.
func (t *Table) Wrote(c spec.Chain, n Need) {
	t.count(c, n, true, -1)
	t.count(c, n, false, 1)
	for _, s := range c {
		if e := t.byID[s.Engine()]; e != nil {
			e.refused = 0
		}
	}
}

// Reread counts in, or out with a sign of -1, that engines read a prompt once
// more: what is behind a dead engine moves to a few others at the same moment.
func (t *Table) Reread(c spec.Chain, n Need, sign int) {
	for _, s := range c {
		if e := t.byID[s.Engine()]; e != nil {
			cells := sign * n.Prompt * s.Layers().Len()
			e.mine.Unread = max(0, e.mine.Unread+cells)
			e.again = max(0, e.again+cells)
		}
	}
}

// End counts a request out; unread tells whether it still read its prompt.
func (t *Table) End(c spec.Chain, n Need, unread bool) { t.count(c, n, unread, -1) }

func (t *Table) count(c spec.Chain, n Need, unread bool, sign int) {
	for _, s := range c {
		e := t.byID[s.Engine()]
		if e == nil {
			continue
		}
		e.mine.add(n.use(s.Layers().Len(), unread).times(sign))
		// A request that began before its engine was born anew does not count.
		e.mine.Streams = max(0, e.mine.Streams)
		e.mine.Cells = max(0, e.mine.Cells)
		e.mine.Unread = max(0, e.mine.Unread)
		e.mine.Spread = max(0, e.mine.Spread)
		if e.mine.Streams == 0 {
			// Sums of fractions leave a rest.
			e.mine.Cells, e.mine.Spread = 0, 0
		}
	}
}
