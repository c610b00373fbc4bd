package ledger

import (
	"sync"

	"github.com/cespare/xxhash/v2"
)

// recentMost bounds the keys that a process remembers; two generations of
// 32,768 hashes take about 2 MB at most.
const recentMost = 32768

// recent remembers the keys that this process saw begun. Without it a caller
// who repeats a payment while the store is down would hear "not run" of a key
// whose first call ran here.
type recent struct {
	mu       sync.Mutex
	now, old map[uint64]struct{}
}

func (r *recent) add(key string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.now) >= recentMost {
		r.old, r.now = r.now, nil
	}
	if r.now == nil {
		r.now = map[uint64]struct{}{}
	}
	r.now[xxhash.Sum64String(key)] = struct{}{}
}

func (r *recent) has(key string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	h := xxhash.Sum64String(key)
	_, now := r.now[h]
	_, old := r.old[h]
	return now || old
}
