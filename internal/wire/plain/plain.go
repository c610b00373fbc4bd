// Package plain is the client of plain services. It sends a call once.
//
// It imports base/spec and state/ledger for the call and its answer. The
// ledger sends calls through it and asks it for lost outcomes; the watcher
// tells it where instances of services are.
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

// tracer names the spans of this package.
const tracer = "fulmarwick/plain"

// Headers that scope an idempotency key: keys of two teams may be equal.
const (
	headerKey   = "Idempotency-Key"
	headerTeam  = "X-Team"
	headerClass = "X-Class"
)

// Sender sends calls to the instances of plain services. Set the exported
// fields before use.
type Sender struct {
	// HTTP must not repeat requests; NewHTTP returns one that does not.
	HTTP *http.Client
	// Timeout bounds the time of one send, dial included; zero is 60 s.
	Timeout time.Duration
	// MaxAnswerBytes bounds an answer's body in bytes; zero is 1 MiB.
	MaxAnswerBytes int64
	// Cooldown is how long an instance that could not be dialled is left alone
	// while another one can be; zero is 5 s.
	Cooldown time.Duration
	// Repeats says which classes may run more than once; nil means none.
	Repeats func(spec.ClassName) bool
	// RetryShare is how many repeats one first send earns; zero is 0.1.
	RetryShare float64
	// LoadInterval is the time between two reads of loads; zero is 1 s.
	LoadInterval time.Duration
	// Meters takes the metrics; nil takes none.
	Meters *metrics.Set

	mu          sync.Mutex
	instances   instances
	rotation    int
	retryCredit float64
}

// NewHTTP returns a client that sends each request once.
//
// net/http sends a request again by itself when a reused connection breaks
// and the request has an Idempotency-Key or a body that it can read anew. The
// caller would see one payment and the service two. A connection that is
// never reused cannot break that way, and redirects are not followed. A fresh
// connection costs a round trip, and spares the calls that would end unsure
// because the service closed an idle connection at the same moment.
func NewHTTP() *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DisableKeepAlives: true,
			DialContext:       (&net.Dialer{Timeout: dialTimeout}).DialContext,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Send sends the call. The error is ledger.ErrNotSent if no byte of it left
// this process; any other error leaves open whether it ran. An instance that
// refuses the connection is followed by the next one, since nothing left. A
// call of a class that may repeat is sent once more after another error, if
// the budget allows.
func (s *Sender) Send(ctx context.Context, c ledger.Call) (ledger.Answer, error) {
	s.earnRetryCredit()
	answer, err := s.tryInstances(ctx, c)
	if err == nil || errors.Is(err, ledger.ErrNotSent) || !s.takeRetry(c.Class()) {
		return answer, err
	}
	return s.tryInstances(ctx, c)
}

// tryInstances tries the instances until one accepts the connection.
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
	watch := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }}
	req, err := request(httptrace.WithClientTrace(ctx, watch), base, c)
	if err != nil {
		return ledger.Answer{}, errors.Wrap(ledger.ErrNotSent, err.Error())
	}
	resp, err := s.HTTP.Do(req)
	switch {
	case err != nil && !connected:
		// Without a connection no byte of the request left.
		return ledger.Answer{}, errors.Wrap(ledger.ErrNotSent, err.Error())
	case err != nil:
		return ledger.Answer{}, errors.Wrap(err, "plain: send")
	}
	defer func() { _ = resp.Body.Close() }()
	return s.readAnswer(resp)
}

// readAnswer reads a whole answer. One that is cut or too long is an error: a part
// of it must not be stored as what the service said.
func (s *Sender) readAnswer(resp *http.Response) (ledger.Answer, error) {
	most := s.MaxAnswerBytes
	if most == 0 {
		most = defaultMaxAnswer
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, most+1))
	if err != nil {
		return ledger.Answer{}, errors.Wrap(err, "plain: answer cut")
	}
	if int64(len(body)) > most {
		return ledger.Answer{}, errors.Errorf("plain: answer with status %d is longer than %d bytes", resp.StatusCode, most)
	}
	return ledger.NewAnswer(resp.StatusCode, resp.Header.Get("Content-Type"), body), nil
}

// QueryOutcome asks the instances of a service for the outcome of a call. It returns an
// error unless one of them has its answer.
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
		return ledger.Answer{}, errors.Wrap(err, "plain: ask")
	}
	setScope(req, c)
	resp, err := s.HTTP.Do(req)
	if err != nil {
		return ledger.Answer{}, errors.Wrap(err, "plain: ask")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return ledger.Answer{}, errors.Errorf("plain: outcome not known, status %d", resp.StatusCode)
	}
	return s.readAnswer(resp)
}

// count counts a send by how it ended.
func (s *Sender) count(service spec.ServiceName, err error) {
	if s.Meters == nil {
		return
	}
	end := "answered"
	switch {
	case errors.Is(err, ledger.ErrNotSent):
		end = "refused"
	case err != nil:
		end = "lost"
	}
	s.Meters.GetOrCreateCounter(fmt.Sprintf(`fulmarwick_sends_total{service=%q,end=%q}`, service, end)).Inc()
}

func (s *Sender) timeout() time.Duration {
	if s.Timeout == 0 {
		return defaultTimeout
	}
	return s.Timeout
}

// request builds the call as the service gets it. No header of the caller but
// that of the trace is passed on, so none that concerns one hop only can be.
func request(ctx context.Context, base string, c ledger.Call) (*http.Request, error) {
	// NopCloser hides the reader's type, so that the request has no GetBody.
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
