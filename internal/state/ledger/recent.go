package ledger

import (
	"sync"

	"github.com/cespare/xxhash/v2"
)

// maxRecentKeys is the number of keys in one generation. Two generations of
// 32,768 hashes take about 2 MB at most.
const maxRecentKeys = 32768

// recentKeys holds the keys of the calls that this process recently saw started.
// Without it a caller who repeats a payment while the store is down would get "not
// run" for a key whose first call ran in this process.
type recentKeys struct {
	mu                sync.Mutex
	current, previous map[uint64]struct{}
}

func (r *recentKeys) add(key string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.current) >= maxRecentKeys {
		r.previous, r.current = r.current, nil
	}
	if r.current == nil {
		r.current = map[uint64]struct{}{}
	}
	r.current[xxhash.Sum64String(key)] = struct{}{}
}

func (r *recentKeys) has(key string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	h := xxhash.Sum64String(key)
	_, inCurrent := r.current[h]
	_, inPrevious := r.previous[h]
	return inCurrent || inPrevious
}
