package guard

import (
	"net/http"
	"time"

	"fulmarwick/internal/wire/bound"
)

const (
	// internalConns limits the connections to an address that is not for callers.
	internalConns = 64
	// internalTimeout limits the time for a head there, and for a piece of an answer.
	internalTimeout = 10 * time.Second
	// internalIdleTimeout limits the time between two requests there.
	internalIdleTimeout = 10 * time.Minute
	// operatorsShare is the part of what callers may hold that operators may hold besides.
	operatorsShare = 2
)

// NewInternal returns the guard of an address that is not for callers: for readiness checks, metrics, operators or
// other instances. Its requests may hold maxBytes together; zero means no limit. Their heads are limited.
func NewInternal(maxBytes int64) *Guard {
	limits := Limits{
		HeadBytes: bound.MaxHeadBytes, HeadTimeout: internalTimeout, IdleTimeout: internalIdleTimeout, WriteTimeout: internalTimeout,
	}
	return &Guard{
		Account: NewAccount(maxBytes, internalConns), Limits: func() Limits { return limits },
		Refuse: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			http.Error(w, "no memory for the request", http.StatusServiceUnavailable)
		}),
	}
}

// OperatorsBytes returns what operators may hold in a process that may use so many bytes of memory; zero means
// that of the machine.
func OperatorsBytes(memory int64) int64 { return CallersBytes(memory) / operatorsShare }
