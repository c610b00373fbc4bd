package entry

import (
	"net/http"

	"fulmarwick/internal/wire/guard"

	"github.com/go-faster/errors"
)

// readBody reads the body of a request. It returns a fault if the body stalls, falls below a minimum rate, or
// finds no memory; a body that is merely slow is read to its end.
func (s *Server) readBody(w http.ResponseWriter, req *http.Request) ([]byte, error) {
	body, err := guard.Body{MaxBytes: s.Limits.Body, MaxPause: s.Limits.BodyTime}.Read(w, req)
	if err != nil {
		return nil, bodyFault(err)
	}
	return body, nil
}

func bodyFault(err error) error {
	switch {
	case errors.Is(err, guard.ErrTooLarge):
		return newFault(http.StatusRequestEntityTooLarge, "body-size", "The body is larger than this service takes.", RanNo)
	case errors.Is(err, guard.ErrNoRoom):
		return noRoomFault()
	case errors.Is(err, guard.ErrStalled):
		return newFault(http.StatusRequestTimeout, "body-slow", "The body stopped coming before its end.", RanNo)
	default:
		return newFault(http.StatusBadRequest, "body-cut", "The body was cut before its end.", RanNo)
	}
}

// noRoomFault returns the fault of a request that there is no memory for.
func noRoomFault() *FaultError {
	f := newFault(http.StatusServiceUnavailable, "busy", "This instance has no memory for the request.", RanNo)
	f.RetryAfter = busyRetryAfter
	return f
}

// RefuseNoRoom refuses a request that there is no memory for.
func (s *Server) RefuseNoRoom(w http.ResponseWriter, req *http.Request) {
	s.reject(w, req, "", noRoomFault())
}
