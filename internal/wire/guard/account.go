// Package guard limits what callers take of the memory and descriptors of a process: their connections,
// and the heads and bodies of their requests.
//
// It imports package bound and the errors and metrics libraries. The servers for callers, front and entry, and that
// for operators, admin, read bodies through it; app/edge and app/daemon attach a Guard to each address.
//
// What a caller holds is a Claim on an Account. Where an account is full, the caller is evicted that holds most
// and is behind the longest: one that is silent, stops inside a head or a body, or does not read its answer.
// Requests that run are never given up for others.
package guard

import (
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

//go:generate stringer -type=Wait -linecomment -output=wait_string.go

// Wait is what the process waits for at a caller.
type Wait int

// What a process may wait for.
const (
	WaitNone  Wait = iota // none
	WaitHead              // head
	WaitBody              // body
	WaitIdle              // idle
	WaitWrite             // write
)

const (
	// minRate is the rate, in bytes a second, above which a caller that sends is not behind.
	minRate = 64 << 10
	// idleWeight divides the debt of an idle caller: it was promised an idle time.
	idleWeight = 16
)

// minLags is how long a caller must be behind before it may be evicted for others. Bodies and answers of sound
// callers may pause while packets are sent again.
var minLags = map[Wait]time.Duration{WaitBody: 500 * time.Millisecond, WaitWrite: time.Second}

// stopLag is how long a stopping process waits for a caller that does not move. It is above the pauses of sound
// callers.
const stopLag = 5 * time.Second

// Account is what callers may hold together. A nil Account has no limits.
type Account struct {
	// OnEvict is called for each caller that is evicted, with what the process waited for; it may be nil.
	// Set it before use.
	OnEvict func(Wait)

	mu sync.Mutex
	// maxBytes and maxConns are the limits; zero means none.
	maxBytes int64
	maxConns int
	// bytes and conns are what the claims hold, and leaving what evicted ones still hold.
	bytes, leaving int64
	conns          int
	// freed is closed when a claim is evicted or closed; nil if nobody waits for it.
	freed  chan struct{}
	claims map[*Claim]struct{}
	// evictions counts the claims that were evicted.
	evictions map[Wait]int64
}

// NewAccount returns an account of so many bytes and connections; zero means no limit.
func NewAccount(maxBytes int64, maxConns int) *Account {
	return &Account{maxBytes: maxBytes, maxConns: maxConns, claims: map[*Claim]struct{}{}, evictions: map[Wait]int64{}}
}

// SetMaxBytes changes the limit of bytes.
func (a *Account) SetMaxBytes(maxBytes int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.maxBytes = maxBytes
}

// Register registers the metrics of the account.
func (a *Account) Register(meters *metrics.Set) {
	meters.NewGauge(`fulmarwick_callers_bytes`, func() float64 { return a.read(func() int64 { return a.bytes }) })
	meters.NewGauge(`fulmarwick_callers_connections`, func() float64 { return a.read(func() int64 { return int64(a.conns) }) })
	for _, w := range []Wait{WaitHead, WaitBody, WaitIdle, WaitWrite} {
		meters.NewGauge(`fulmarwick_callers_evicted_total{wait="`+w.String()+`"}`, func() float64 { return a.read(func() int64 { return a.evictions[w] }) })
	}
}

func (a *Account) read(value func() int64) float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return float64(value())
}

// Open returns a new claim that holds nothing. evict ends what it belongs to; it is called at most once, and not
// after Close. ofConn means that a connection ends with the claim.
func (a *Account) Open(ofConn bool, evict func()) *Claim {
	if a == nil {
		return nil
	}
	c := &Claim{account: a, evict: evict, ofConn: ofConn}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.claims[c] = struct{}{}
	return c
}

// OpenConn returns the claim of a new connection, which holds bytes. It returns nil if there is no room.
func (a *Account) OpenConn(bytes int64, evict func()) *Claim {
	c := a.Open(true, evict)
	if c == nil {
		return nil
	}
	a.mu.Lock()
	c.isConn = true
	a.conns++
	var victim *Claim
	room := a.maxConns <= 0 || a.conns <= a.maxConns
	if !room {
		victim = a.worst(c, true)
		room = victim != nil
		a.remove(victim)
	}
	a.mu.Unlock()
	victim.runEvict()
	if room && c.grow(bytes, true) {
		return c
	}
	c.Close()
	return nil
}

// fits reports whether a claim may hold n bytes more while others hold leaving bytes besides those of the
// account; a.mu is held. A claim may hold as much as is free after it, so that large ones leave room for small
// ones.
func (a *Account) fits(c *Claim, n, leaving int64) bool {
	return a.maxBytes <= 0 || c.held+n <= a.maxBytes-a.bytes-leaving-n
}

// worst returns the claim with the largest debt, other than c; nil if none may be evicted. With ofConn a
// connection must end with it. a.mu is held.
func (a *Account) worst(c *Claim, ofConn bool) *Claim {
	now := time.Now()
	var worst *Claim
	most := 0.0
	for other := range a.claims {
		if other == c || ofConn && !other.ofConn {
			continue
		}
		if debt := other.debt(now); debt > most {
			worst, most = other, debt
		}
	}
	return worst
}

// remove takes an evicted claim off the account; a.mu is held. runEvict must follow.
func (a *Account) remove(c *Claim) {
	if c == nil || c.gone {
		return
	}
	c.evictedFor, _ = c.lag(time.Now())
	a.evictions[c.evictedFor]++
	a.leaving += c.held
	a.forget(c)
}

// forget takes a claim off the account; a.mu is held.
func (a *Account) forget(c *Claim) {
	c.gone = true
	a.bytes -= c.held
	if c.isConn {
		a.conns--
	}
	delete(a.claims, c)
	a.signalFreed()
}

// nextFreed returns the channel that is closed when the next claim is evicted or closed; a.mu is held.
func (a *Account) nextFreed() <-chan struct{} {
	if a.freed == nil {
		a.freed = make(chan struct{})
	}
	return a.freed
}

// signalFreed wakes those who wait for room; a.mu is held.
func (a *Account) signalFreed() {
	if a.freed != nil {
		close(a.freed)
		a.freed = nil
	}
}

// close ends a claim, which holds nothing any more.
func (a *Account) close(c *Claim) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !c.gone {
		a.forget(c)
		return
	}
	a.leaving -= c.held
	c.held = 0
	a.signalFreed()
}

// EvictStalled evicts the callers that a stopping process does not wait for. Idle connections are closed by
// net/http.
func (a *Account) EvictStalled() {
	a.evictAll(func(wait Wait, lag time.Duration) bool {
		return wait != WaitNone && wait != WaitIdle && lag >= stopLag
	})
}

// EvictReaders evicts the callers whose requests were not read whole.
func (a *Account) EvictReaders() {
	a.evictAll(func(wait Wait, _ time.Duration) bool { return wait == WaitHead || wait == WaitBody })
}

func (a *Account) evictAll(must func(wait Wait, lag time.Duration) bool) {
	if a == nil {
		return
	}
	a.mu.Lock()
	var victims []*Claim
	now := time.Now()
	for c := range a.claims {
		if must(c.lag(now)) {
			victims = append(victims, c)
		}
	}
	for _, c := range victims {
		a.remove(c)
	}
	a.mu.Unlock()
	for _, c := range victims {
		c.runEvict()
	}
}
