// Package plain is the client of plain services. It sends each call once,
// except for retries of classes that allow them.
//
// It imports base/spec and state/ledger for calls and their answers. The ledger
// sends calls through it and queries it for lost outcomes; the watcher passes
// it the addresses of service instances.
package plain

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/state/ledger"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-faster/errors"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
)

// Defaults of the fields of Sender.
const (
	dialTimeout       = 2 * time.Second
	defaultTimeout    = 60 * time.Second
	defaultMaxAnswer  = 1 << 20
	defaultCooldown   = 5 * time.Second
	defaultRetryShare = 0.1
)

// tracer is the name of the tracer of this package.
const tracer = "fulmarwick/plain"

// Headers that set the scope of an idempotency key: two teams may use the same
// key.
const (
	headerKey   = "Idempotency-Key"
	headerTeam  = "X-Team"
	headerClass = "X-Class"
)

// Sender sends calls to the instances of plain services. Set the exported
// fields before use.
type Sender struct {
	// HTTP must not resend requests; NewHTTP returns a suitable client.
	HTTP *http.Client
	// Timeout limits the time of one send, including dialling; zero means 60 s.
	Timeout time.Duration
	// MaxAnswerBytes limits the body of an answer; zero means 1 MiB.
	MaxAnswerBytes int64
	// Cooldown is the time for which other instances are preferred to one that
	// could not be dialled; zero means 5 s.
	Cooldown time.Duration
	// Retryable reports whether calls of a class may run more than once; nil
	// means that no class may.
	Retryable func(spec.ClassName) bool
	// RetryShare is the number of retries that one first send earns; zero means
	// 0.1.
	RetryShare float64
	// LoadInterval is the interval at which loads are read; zero means 1 s.
	LoadInterval time.Duration
	// Meters receives the metrics; nil disables them.
	Meters *metrics.Set

	mu          sync.Mutex
	instances   instances
	rotation    int
	retryCredit float64
}

// NewHTTP returns a client that sends each request once.
//
// net/http resends a request on its own if a reused connection breaks and the
// request has an Idempotency-Key header or a body that can be read again. The
// caller would see one payment and the service two. A connection that is never
// reused cannot break in this way, and redirects are not followed. A new
// connection costs one round trip. In return, no call ends with an unsure
// outcome because the service closed an idle connection at the same moment.
func NewHTTP() *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DisableKeepAlives: true,
			DialContext:       (&net.Dialer{Timeout: dialTimeout}).DialContext,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Send sends the call. The error is ledger.ErrNotSent if no byte of the call
// left this process; after any other error the call may have run. If an
// instance refuses the connection, the next one is tried, since nothing was
// sent. After another error, a call of a class that may be retried is sent once
// more if the budget allows.
func (s *Sender) Send(ctx context.Context, c ledger.Call) (ledger.Answer, error) {
	s.earnRetryCredit()
	answer, err := s.tryInstances(ctx, c)
	if err == nil || errors.Is(err, ledger.ErrNotSent) || !s.takeRetry(c.Class()) {
		return answer, err
	}
	return s.tryInstances(ctx, c)
}

// tryInstances tries instances until one accepts the connection.
func (s *Sender) tryInstances(ctx context.Context, c ledger.Call) (ledger.Answer, error) {
	tried := map[string]bool{}
	last := errors.Wrap(ledger.ErrNotSent, "no instance of the service")
	for {
		base, ok := s.pick(c.Service(), tried)
		if !ok {
			return ledger.Answer{}, last
		}
		tried[base] = true
		answer, err := s.sendTo(ctx, base, c)
		s.recordResult(c.Service(), base, err)
		s.count(c.Service(), err)
		if !errors.Is(err, ledger.ErrNotSent) {
			return answer, err
		}
		last = err
	}
}

// sendTo sends the call to one instance.
func (s *Sender) sendTo(ctx context.Context, base string, c ledger.Call) (ledger.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, s.timeout())
	defer cancel()
	ctx, span := trace.SpanFromContext(ctx).TracerProvider().Tracer(tracer).Start(ctx, "plain.send", trace.WithSpanKind(trace.SpanKindClient))
	defer span.End()
	connected := false
	clientTrace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }}
	req, err := request(httptrace.WithClientTrace(ctx, clientTrace), base, c)
	if err != nil {
		return ledger.Answer{}, errors.Wrap(ledger.ErrNotSent, err.Error())
	}
	resp, err := s.HTTP.Do(req)
	switch {
	case err != nil && !connected:
		// Without a connection, no byte of the request was sent.
		return ledger.Answer{}, errors.Wrap(ledger.ErrNotSent, err.Error())
	case err != nil:
		return ledger.Answer{}, errors.Wrap(err, "plain: send")
	}
	defer func() { _ = resp.Body.Close() }()
	return s.readAnswer(resp)
}

// readAnswer reads a complete answer. A truncated or oversized answer is an
// error: a part of it must not be stored as the answer of the service. The text of the
// error is stored in the record of the call, so it must not change.
func (s *Sender) readAnswer(resp *http.Response) (ledger.Answer, error) {
	limit := s.MaxAnswerBytes
	if limit == 0 {
		limit = defaultMaxAnswer
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err != nil {
		return ledger.Answer{}, errors.Wrap(err, "plain: answer cut")
	}
	if int64(len(body)) > limit {
		return ledger.Answer{}, errors.Errorf("plain: answer with status %d is longer than %d bytes", resp.StatusCode, limit)
	}
	return ledger.NewAnswer(resp.StatusCode, resp.Header.Get("Content-Type"), body), nil
}

// QueryOutcome queries the instances of a service for the outcome of a call. It
// returns an error unless one of them has the answer.
func (s *Sender) QueryOutcome(ctx context.Context, c ledger.Call) (ledger.Answer, error) {
	last := errors.New("plain: no instance of the service")
	for _, base := range s.bases(c.Service()) {
		answer, err := s.queryInstance(ctx, base, c)
		if err == nil {
			return answer, nil
		}
		last = err
	}
	return ledger.Answer{}, last
}

func (s *Sender) queryInstance(ctx context.Context, base string, c ledger.Call) (ledger.Answer, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, base+"/v1/outcomes/"+url.PathEscape(c.Key()), http.NoBody)
	if err != nil {
		return ledger.Answer{}, errors.Wrap(err, "plain: query outcome")
	}
	setScope(req, c)
	resp, err := s.HTTP.Do(req)
	if err != nil {
		return ledger.Answer{}, errors.Wrap(err, "plain: query outcome")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return ledger.Answer{}, errors.Errorf("plain: outcome unknown: status %d", resp.StatusCode)
	}
	return s.readAnswer(resp)
}

// count counts a send by its result.
func (s *Sender) count(service spec.ServiceName, err error) {
	if s.Meters == nil {
		return
	}
	result := "answered"
	switch {
	case errors.Is(err, ledger.ErrNotSent):
		result = "refused"
	case err != nil:
		result = "lost"
	}
	s.Meters.GetOrCreateCounter(fmt.Sprintf(`fulmarwick_sends_total{service=%q,end=%q}`, service, result)).Inc()
}

func (s *Sender) timeout() time.Duration {
	if s.Timeout == 0 {
		return defaultTimeout
	}
	return s.Timeout
}

// request builds the HTTP request for the service. Of the headers of the caller
// only the trace is passed on, so no hop-by-hop header can be.
func request(ctx context.Context, base string, c ledger.Call) (*http.Request, error) {
	// NopCloser hides the type of the reader, so that http.NewRequest sets no
	// GetBody.
	body := io.NopCloser(bytes.NewReader(c.Body()))
	target := base + "/v1/calls/" + url.PathEscape(string(c.Class()))
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, target, body)
	if err != nil {
		return nil, err
	}
	req.ContentLength = int64(len(c.Body()))
	req.Header.Set("Content-Type", c.ContentType())
	req.Header.Set(headerKey, c.Key())
	setScope(req, c)
	propagation.TraceContext{}.Inject(ctx, propagation.HeaderCarrier(req.Header))
	return req, nil
}

func setScope(req *http.Request, c ledger.Call) {
	req.Header.Set(headerTeam, string(c.Team()))
	req.Header.Set(headerClass, string(c.Class()))
}
