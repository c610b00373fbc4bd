package guard

import (
	"sync"
	"time"
)

// Claim is what one connection or one request of a caller holds. A nil Claim holds nothing and is never
// evicted.
type Claim struct {
	account *Account
	evict   func()
	// ofConn means that a connection ends with the claim, isConn that it is that of the connection.
	ofConn, isConn bool

	// evictMu is held while evict runs.
	evictMu sync.Mutex
	closed  bool

	// The other fields belong to account.mu.
	// held is what the claim holds, also after its eviction until it is closed.
	held int64
	// gone means that the claim was evicted or closed.
	gone bool
	// evictedFor is what the process waited for when the claim was evicted.
	evictedFor Wait
	// growing means that it waits for room.
	growing bool
	wait    Wait
	// behindSince is when the process began to wait for the caller, later by what the caller has sent at
	// minRate since then.
	behindSince time.Time
	// writingSince is when a write to the caller began; zero if there is none.
	writingSince time.Time
}

// maxFreeTime limits the wait for what evicted claims hold.
const maxFreeTime = 2 * time.Second

// Grow takes n bytes more. If there is no room, others are evicted, and Grow waits until they have given back
// what they hold. It returns false if there is none even so, or if the claim was evicted.
func (c *Claim) Grow(n int64) bool { return c.grow(n, false) }

// grow takes n bytes more. With overdraw it does not wait for what evicted claims hold.
func (c *Claim) grow(n int64, overdraw bool) bool {
	if c == nil {
		return true
	}
	var timeout <-chan time.Time
	for {
		ok, victim, freed := c.tryGrow(n, overdraw)
		if victim != nil {
			victim.runEvict()
			continue
		}
		if freed == nil {
			return ok
		}
		if timeout == nil {
			timeout = time.After(maxFreeTime)
		}
		select {
		case <-freed:
		case <-timeout:
			return false
		}
	}
}

// tryGrow takes n bytes more if there is room. Otherwise it returns the claim to evict, or a channel that is
// closed once evicted claims have given something back. If it returns neither, there is no room.
func (c *Claim) tryGrow(n int64, overdraw bool) (ok bool, victim *Claim, freed <-chan struct{}) {
	a := c.account
	a.mu.Lock()
	defer a.mu.Unlock()
	// While the claim waits for room, its caller is not behind.
	c.growing = false
	switch {
	case c.gone:
		return false, nil, nil
	case a.fits(c, n, a.leaving) || overdraw && a.fits(c, n, 0):
		c.held += n
		a.bytes += n
		return true, nil, nil
	case a.fits(c, n, 0):
		c.growing, c.behindSince = true, time.Now()
		return false, nil, a.nextFreed()
	}
	victim = a.worst(c, false)
	a.remove(victim)
	return false, victim, nil
}

// Hold sets what the claim holds. It may exceed the limit, until others take room.
func (c *Claim) Hold(n int64) {
	if c == nil {
		return
	}
	c.account.mu.Lock()
	defer c.account.mu.Unlock()
	if !c.gone {
		c.account.bytes += n - c.held
		c.held = n
	}
}

// StartWait says what the process waits for at the caller from now on. It returns false if the claim was
// evicted.
func (c *Claim) StartWait(wait Wait) bool {
	if c == nil {
		return true
	}
	c.account.mu.Lock()
	defer c.account.mu.Unlock()
	c.wait, c.behindSince = wait, time.Now()
	return !c.gone
}

// Received says that the caller sent n bytes of what the process waits for.
func (c *Claim) Received(n int) {
	if c == nil {
		return
	}
	c.account.mu.Lock()
	defer c.account.mu.Unlock()
	c.behindSince = c.behindSince.Add(time.Duration(n) * time.Second / minRate)
	if now := time.Now(); c.behindSince.After(now) {
		c.behindSince = now
	}
}

// StartWrite says that a write to the caller begins, and EndWrite that it ended.
func (c *Claim) StartWrite() { c.setWriting(time.Now()) }

// EndWrite says that a write to the caller ended.
func (c *Claim) EndWrite() { c.setWriting(time.Time{}) }

func (c *Claim) setWriting(since time.Time) {
	if c == nil {
		return
	}
	c.account.mu.Lock()
	defer c.account.mu.Unlock()
	c.writingSince = since
}

// Evicted reports whether the claim was evicted or closed.
func (c *Claim) Evicted() bool {
	if c == nil {
		return false
	}
	c.account.mu.Lock()
	defer c.account.mu.Unlock()
	return c.gone
}

// Close gives back what the claim holds.
func (c *Claim) Close() {
	if c == nil {
		return
	}
	c.account.close(c)
	c.evictMu.Lock()
	defer c.evictMu.Unlock()
	c.closed = true
}

// runEvict ends what an evicted claim belongs to.
func (c *Claim) runEvict() {
	if c == nil {
		return
	}
	c.evictMu.Lock()
	defer c.evictMu.Unlock()
	if c.closed {
		return
	}
	c.evict()
	if onEvict := c.account.OnEvict; onEvict != nil {
		onEvict(c.evictedFor)
	}
}

// lag returns what the process waits for and how long the caller is behind; account.mu is held.
func (c *Claim) lag(now time.Time) (Wait, time.Duration) {
	if !c.writingSince.IsZero() {
		return WaitWrite, now.Sub(c.writingSince)
	}
	return c.wait, now.Sub(c.behindSince)
}

// debt returns what the caller holds times how long it is behind; the largest is evicted first. Zero means that
// it must not be evicted. account.mu is held.
func (c *Claim) debt(now time.Time) float64 {
	wait, lag := c.lag(now)
	if wait == WaitNone || c.growing || lag < minLags[wait] {
		return 0
	}
	debt := float64(max(1, c.held)) * max(lag, time.Microsecond).Seconds()
	if wait == WaitIdle {
		debt /= idleWeight
	}
	return debt
}
