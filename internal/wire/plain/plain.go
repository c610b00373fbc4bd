// Package plain is the client of plain services. It sends a call once.
//
// It imports base/spec and state/ledger for the call and its answer. The
// ledger sends calls that may not be repeated through it.
package plain

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/state/ledger"

	"github.com/go-faster/errors"
)

const (
	dialTimeout   = 2 * time.Second
	answerTimeout = 60 * time.Second
	maxAnswer     = 1 << 20
)

// Sender sends calls to the instances of plain services in turn.
type Sender struct {
	// HTTP must not repeat requests; NewHTTP returns one that does not.
	HTTP *http.Client

	mu    sync.Mutex
	bases map[spec.ServiceName][]string
	next  int
}

// NewHTTP returns a client that sends each request once.
//
// net/http sends a request again by itself when a reused connection breaks
// and the request has an Idempotency-Key or a body that it can read anew. The
// caller would see one payment and the service two. A connection that is
// never reused cannot break that way, and redirects are not followed.
func NewHTTP() *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DisableKeepAlives: true,
			DialContext:       (&net.Dialer{Timeout: dialTimeout}).DialContext,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Locate sets the base URLs of a service's instances.
func (s *Sender) Locate(service spec.ServiceName, bases []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.bases == nil {
		s.bases = map[spec.ServiceName][]string{}
	}
	s.bases[service] = append([]string(nil), bases...)
}

// Send sends the call once. The error is ledger.ErrNotSent if no byte of it
// left this process; any other error leaves open whether it ran.
func (s *Sender) Send(ctx context.Context, c ledger.Call) (ledger.Answer, error) {
	base, ok := s.base(c.Service())
	if !ok {
		return ledger.Answer{}, errors.Wrap(ledger.ErrNotSent, "no instance of the service")
	}
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	req, err := request(ctx, base, c)
	if err != nil {
		return ledger.Answer{}, errors.Wrap(ledger.ErrNotSent, err.Error())
	}
	resp, err := s.HTTP.Do(req)
	if err != nil {
		return ledger.Answer{}, sendError(err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return ledger.Answer{}, errors.Wrap(err, "plain: answer cut")
	}
	return ledger.NewAnswer(resp.StatusCode, resp.Header.Get("Content-Type"), body), nil
}

func (s *Sender) base(service spec.ServiceName) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	bases := s.bases[service]
	if len(bases) == 0 {
		return "", false
	}
	s.next++
	return bases[s.next%len(bases)], true
}

func request(ctx context.Context, base string, c ledger.Call) (*http.Request, error) {
	// NopCloser hides the reader's type, so that the request has no GetBody.
	body := io.NopCloser(bytes.NewReader(c.Body()))
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, base+"/v1/calls/"+string(c.Class()), body)
	if err != nil {
		return nil, err
	}
	req.ContentLength = int64(len(c.Body()))
	req.Header.Set("Content-Type", c.Type())
	req.Header.Set("Idempotency-Key", c.Key())
	return req, nil
}

// sendError tells a failed dial, after which nothing left, from the rest.
func sendError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return errors.Wrap(ledger.ErrNotSent, err.Error())
	}
	return errors.Wrap(err, "plain: send")
}
