package world

import (
	"time"
)

// load is what draws on an engine, in layer-tokens a second: a request that
// runs n layers of it and takes t for a token draws n/t.
type load struct {
	// own and peers are known exactly and with a short delay.
	own   int64
	peers int64
	// other is the smoothed difference between what reports show and what is
	// known: work of instances not heard of, and requests that draw more or
	// less than was predicted.
	other int64
	known bool
	// kv is the KV tokens that own requests may come to take, others how many
	// requests of other instances there are.
	kv     int64
	others int
}

const (
	minLayer = time.Microsecond
	// smooth is the weight of the past against a new report, in parts of
	// smooth+1.
	smooth = 4
	// trust bounds how far reports may lower what is known, in percent: they
	// are samples at one instant.
	trust = 40
)

// Pace is the time of one token through one layer, never zero.
func (e *Engine) Pace() time.Duration { return max(minLayer, e.Layer) }

// Capacity is how many layer-tokens a second the engine can run.
func (e *Engine) Capacity() int64 {
	return int64(max(1, e.Slots)) * int64(time.Second) / int64(e.Pace())
}

// Draw is the predicted use of the engine now in layer-tokens a second: what
// its last reports showed, corrected by what was sent to it since.
func (e *Engine) Draw() int64 {
	known := e.load.own + e.load.peers
	return known + max(e.load.other, -known*trust/100)
}

// OwnDraw is the part of Draw that this instance's requests take.
func (e *Engine) OwnDraw() int64 { return e.load.own }

// Use is Draw over Capacity.
func (e *Engine) Use() float64 { return float64(e.Draw()) / float64(e.Capacity()) }

// sample compares a report with what is known.
func (e *Engine) sample() {
	busy := int64(e.Active+e.Queued) * int64(time.Second) / int64(e.Pace())
	diff := busy - e.load.own - e.load.peers
	before := e.Draw()
	if !e.load.known {
		e.load.known = true
		e.load.other = max(0, diff)
	} else {
		e.load.other = (smooth*e.load.other + diff) / (smooth + 1)
	}
	e.moved(before)
}

func (e *Engine) addOwn(draw, kv int64) {
	before := e.Draw()
	e.load.own += draw
	e.load.kv += kv
	e.moved(before)
}

func (e *Engine) addPeer(now, old peerLoad) {
	before := e.Draw()
	e.load.peers += now.draw - old.draw
	e.load.others += now.active - old.active
	e.moved(before)
}

// Room reports whether the engine has memory for need KV tokens more. What the
// requests of other instances take is guessed from those of this one.
func (e *Engine) Room(need int64) bool {
	if e.Cache <= 0 {
		return true
	}
	each := need
	if e.own > 0 {
		each = e.load.kv / int64(e.own)
	}
	return e.load.kv+int64(e.load.others)*each+need <= int64(e.Cache)
}

// moved keeps the sums of the engine's groups in step with its draw.
func (e *Engine) moved(before int64) {
	d := e.Draw() - before
	if d == 0 {
		return
	}
	for _, g := range e.groups {
		g.draw += d
	}
}
