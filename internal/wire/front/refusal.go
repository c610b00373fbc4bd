package front

import (
	"net/http"
	"time"

	"fulmarwick/internal/wire/guard"

	"github.com/go-faster/errors"
)

// noRoomRetryAfter is the Retry-After of requests that there is no memory for: another instance may have some.
const noRoomRetryAfter = 200 * time.Millisecond

// retryAfterOf returns the Retry-After of a request that was not read whole.
func retryAfterOf(status int) time.Duration {
	if status == http.StatusServiceUnavailable {
		return noRoomRetryAfter
	}
	return 0
}

// RefuseNoRoom refuses a request that there is no memory for.
func (s *Server) RefuseNoRoom(w http.ResponseWriter, r *http.Request) {
	s.reject(w, r, http.StatusServiceUnavailable, "no memory for the request", noRoomRetryAfter)
}

// bodyRefusal returns the status and the reason of the refusal of a request whose body was not read. Except
// for a malformed or cut body, they promise that the request was not run.
func bodyRefusal(err error) (status int, reason string) {
	switch {
	case errors.Is(err, guard.ErrTooLarge):
		return http.StatusRequestEntityTooLarge, "body is too large"
	case errors.Is(err, guard.ErrNoRoom):
		return http.StatusServiceUnavailable, "no memory for the body"
	case errors.Is(err, guard.ErrStalled):
		return http.StatusRequestTimeout, "body stopped coming"
	}
	return http.StatusBadRequest, "body is cut"
}
