package limit

import "time"

// maxDebt is how many slots may be used ahead of time. A clock that jumps back makes the last
// used slot seem later than that, and it no longer counts.
const maxDebt = 8

// slots are the slots of this instance for one upstream: they begin at offset in each period,
// in nanoseconds.
type slots struct {
	period, offset int64
}

// slots returns the slots that the present limit and share give this instance.
func (l *Limiter) slots(u *limited) slots {
	share := l.Share()
	length := int64(float64(time.Second) / u.perSecond)
	count := int64(max(1, share.Count))
	return slots{period: length * count, offset: length * (int64(share.Index) % count)}
}

// at returns the beginning of the last slot that has begun.
func (s slots) at(now time.Time) int64 {
	return (now.UnixNano()-s.offset)/s.period*s.period + s.offset
}

// firstFree returns the beginning of the first slot from begin on that is not used.
func (s slots) firstFree(u *limited, begin int64) int64 {
	if u.freeFrom-begin > maxDebt*s.period {
		return begin
	}
	return max(begin, u.freeFrom)
}

// validity returns how long after its beginning a slot may be used.
func (s slots) validity() int64 { return min(s.period, int64(maxSlotAge)) }
