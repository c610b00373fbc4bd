package guard

import (
	"io"
	"net/http"
	"os"
	"time"

	"fulmarwick/internal/wire/bound"

	"github.com/go-faster/errors"
)

// Why a body was not read.
var (
	// ErrTooLarge means that the body is larger than it may be.
	ErrTooLarge = errors.New("guard: body is too large")
	// ErrNoRoom means that there is no memory for the body.
	ErrNoRoom = errors.New("guard: no memory for the body")
	// ErrStalled means that the body stopped coming.
	ErrStalled = errors.New("guard: body stopped coming")
)

// minPauseBytes is how much of a body must come, on average, in each longest pause: a caller that sends
// single bytes would otherwise never reach an end.
const minPauseBytes = 1 << 10

// Body limits the body of a request. Zero means no limit.
type Body struct {
	// MaxBytes is its largest size.
	MaxBytes int64
	// MaxPause is the longest pause between two of its bytes.
	MaxPause time.Duration
	// Deadline is when it must be whole.
	Deadline time.Time
}

// Read reads the body of a request. The bytes count in the claim of the request until its end. After an
// error the response closes the connection.
func (b Body) Read(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	claim := claimOf(r)
	control := http.NewResponseController(w)
	reader := &bodyReader{ReadCloser: http.MaxBytesReader(w, r.Body, b.MaxBytes), limits: b, control: control, claim: claim, start: time.Now()}
	size := b.MaxBytes
	if r.ContentLength > 0 {
		size = min(size, r.ContentLength)
	}
	claim.StartWait(WaitBody)
	data, err := bound.ReadAll(reader, int(size), claim.Grow)
	if !claim.StartWait(WaitNone) && err == nil {
		err = ErrNoRoom
	}
	if err != nil {
		// The caller gets a moment to read the refusal while it still sends.
		_ = control.SetReadDeadline(time.Now().Add(lingerTime))
		if r.ProtoMajor == 1 {
			w.Header().Set("Connection", "close")
		}
		return nil, reader.cause(err)
	}
	// net/http reads on to notice that the caller leaves, and must not meet the deadline.
	_ = control.SetReadDeadline(time.Time{})
	return data, nil
}

// Grow takes n bytes more for a request. It returns false if there is no room.
func Grow(r *http.Request, n int64) bool { return claimOf(r).Grow(n) }

// claimOf returns the claim of a request; nil if there is none.
func claimOf(r *http.Request) *Claim {
	claim, _ := r.Context().Value(claimKey{}).(*Claim)
	return claim
}

// bodyReader reads a body within its limits.
type bodyReader struct {
	io.ReadCloser
	limits   Body
	control  *http.ResponseController
	claim    *Claim
	start    time.Time
	received int64
}

// Read sets a new read deadline and reads.
func (b *bodyReader) Read(p []byte) (int, error) {
	// Connections without deadlines, as in tests, return an error here.
	_ = b.control.SetReadDeadline(b.deadline())
	if b.claim.Evicted() {
		return 0, ErrNoRoom
	}
	n, err := b.ReadCloser.Read(p)
	b.received += int64(n)
	b.claim.Received(n)
	return n, err
}

// deadline returns when the next bytes must come.
func (b *bodyReader) deadline() time.Time {
	deadline := b.limits.Deadline
	if pause := b.limits.MaxPause; pause > 0 {
		slowest := b.start.Add(pause * time.Duration(1+b.received/minPauseBytes))
		for _, t := range []time.Time{time.Now().Add(pause), slowest} {
			if deadline.IsZero() || t.Before(deadline) {
				deadline = t
			}
		}
	}
	return deadline
}

// cause returns why a body was not read.
func (b *bodyReader) cause(err error) error {
	var tooLarge *http.MaxBytesError
	switch {
	case b.claim.Evicted():
		return ErrNoRoom
	case errors.As(err, &tooLarge):
		return ErrTooLarge
	case errors.Is(err, bound.ErrTooLong):
		return ErrNoRoom
	case errors.Is(err, os.ErrDeadlineExceeded):
		return ErrStalled
	}
	return err
}
