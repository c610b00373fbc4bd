package drive

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"fulmarwick/internal/state/feed"
	"fulmarwick/platform/stand"
)

// Run executes a workload once. Set the exported fields before Do.
type Run struct {
	Workload Workload
	// Addresses are the addresses that callers use in turn.
	Addresses []string
	// Dial opens connections; nil uses the network.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Fault injects a fault. It may be nil if the workload has no faults.
	Fault func(Fault) error
	// Progress, if set, is called after each second.
	Progress func(second int, s Second)

	clients []*http.Client
	start   time.Time

	mu      sync.Mutex
	answers []answer
	next    int
}

// answer is the final result of one caller.
type answer struct {
	class   *Class
	sentAt  time.Duration
	outcome Outcome
	// first is the time to the first event, or to the answer if it has none.
	first time.Duration
	// longestGap is the longest time between two events.
	longestGap time.Duration
}

// Outcome describes how a request ended.
type Outcome int

// The outcomes of requests.
const (
	OutcomeInTarget Outcome = iota
	OutcomeLate
	OutcomeRefused
	OutcomeFailed
)

// Do executes the workload and returns the results that its callers observed.
func (r *Run) Do(ctx context.Context) (Report, error) {
	for range r.Addresses {
		r.clients = append(r.clients, &http.Client{Transport: &http.Transport{DialContext: r.Dial, MaxIdleConnsPerHost: 64}})
	}
	r.start = time.Now()
	var callers, senders sync.WaitGroup
	for i := range r.Workload.Classes {
		senders.Go(func() { r.sendClass(ctx, &r.Workload.Classes[i], uint64(i), &callers) })
	}
	faults := make(chan error, len(r.Workload.Faults))
	for _, f := range r.Workload.Faults {
		senders.Go(func() { faults <- r.applyFault(ctx, f) })
	}
	done := make(chan struct{})
	var progress sync.WaitGroup
	progress.Go(func() { r.reportProgress(done) })
	senders.Wait()
	callers.Wait()
	close(done)
	progress.Wait()
	close(faults)
	for _, client := range r.clients {
		client.CloseIdleConnections()
	}
	for err := range faults {
		if err != nil {
			return Report{}, err
		}
	}
	return r.report(), ctx.Err()
}

// sendClass sends the requests of a class at random intervals with the mean
// given by its rate.
func (r *Run) sendClass(ctx context.Context, c *Class, n uint64, callers *sync.WaitGroup) {
	random := rand.New(rand.NewPCG(r.Workload.Seed, n))
	at := time.Duration(0)
	for k := 0; ; k++ {
		rate := c.Rate * r.rateFactor(c, at)
		if rate <= 0 {
			return
		}
		at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		if at > r.Workload.Duration || !feed.Sleep(ctx, time.Until(r.start.Add(at))) {
			return
		}
		id, sent := fmt.Sprintf("%s-%d", c.Name, k), at
		callers.Go(func() { r.runCaller(ctx, c, id, sent) })
	}
}

// rateFactor returns the factor by which bursts change the rate of a class at a
// given time.
func (r *Run) rateFactor(c *Class, at time.Duration) float64 {
	factor := 1.0
	for _, b := range r.Workload.Bursts {
		if (b.Class == "" || b.Class == c.Name) && at >= b.At && at < b.At+b.For {
			factor *= b.Factor
		}
	}
	return factor
}

// applyFault injects a fault at its time.
func (r *Run) applyFault(ctx context.Context, f Fault) error {
	if !feed.Sleep(ctx, f.At) {
		return nil
	}
	return r.Fault(f)
}

// runCaller sends one request and, while it is refused, sends it again after
// the time that the router asks for, up to the retries of the class.
func (r *Run) runCaller(ctx context.Context, c *Class, id string, at time.Duration) {
	deadline := time.Now().Add(c.Deadline)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	start := time.Now()
	var a answer
	for attempt := 0; ; attempt++ {
		var retryAfter time.Duration
		a, retryAfter = r.request(ctx, c, fmt.Sprintf("%s-%d", id, attempt), start, time.Until(deadline))
		if a.outcome != OutcomeRefused || attempt >= c.Retries || !feed.Sleep(ctx, retryAfter) {
			break
		}
	}
	a.class, a.sentAt = c, at
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answers = append(r.answers, a)
}

// nextFront returns the index of the next address in turn.
func (r *Run) nextFront() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.next++
	return r.next % len(r.Addresses)
}

// request sends one request. If it is refused, retryAfter is the time from its
// Retry-After header.
func (r *Run) request(ctx context.Context, c *Class, id string, start time.Time, timeLeft time.Duration) (a answer, retryAfter time.Duration) {
	a = answer{outcome: OutcomeFailed}
	tokens := ""
	if c.Prompt > 0 {
		tokens = fmt.Sprintf("%d,%d", c.Prompt, c.Answer)
	}
	n := r.nextFront()
	req, err := stand.NewRequest(ctx, c.Method, "http://"+r.Addresses[n]+c.Path, id, tokens)
	if err != nil {
		return a, 0
	}
	stand.SetDeadline(req, timeLeft)
	stand.SetKey(req, c.Key)
	resp, err := r.clients[n].Do(req)
	if err != nil {
		return a, 0
	}
	defer func() { _ = resp.Body.Close() }()
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		a.outcome = OutcomeRefused
		seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
		if err != nil {
			seconds = 0
		}
		return a, time.Duration(seconds * float64(time.Second))
	default:
		return a, 0
	}
	events, err := a.read(resp.Body, start)
	switch {
	case err != nil || events != stand.EventCount(c.Answer):
		return a, 0
	case a.first > c.Target || events > 0 && a.longestGap > c.Gap:
		a.outcome = OutcomeLate
	default:
		a.outcome = OutcomeInTarget
	}
	return a, 0
}

// read reads an answer to its end and returns the number of events. Events that
// are out of order are an error.
func (a *answer) read(body io.Reader, start time.Time) (events int, err error) {
	last := start
	lines := bufio.NewReader(body)
	for {
		line, err := lines.ReadString('\n')
		if text, ok := strings.CutPrefix(line, "id: "); ok {
			if id, err := strconv.Atoi(strings.TrimSpace(text)); err != nil || id != events+1 {
				return events, fmt.Errorf("drive: event %q out of order after %d events", text, events)
			}
			gap := time.Since(last)
			last = time.Now()
			if events == 0 {
				a.first = gap
			} else {
				a.longestGap = max(a.longestGap, gap)
			}
			events++
		}
		if err == io.EOF {
			break
		}
		if err != nil {
			return events, err
		}
	}
	if events == 0 {
		a.first = time.Since(start)
	}
	return events, nil
}

// reportProgress calls Progress after each second until done is closed.
func (r *Run) reportProgress(done <-chan struct{}) {
	if r.Progress == nil {
		return
	}
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-done:
			return
		case <-ticker.C:
		}
		r.mu.Lock()
		answers := append([]answer(nil), r.answers...)
		r.mu.Unlock()
		r.Progress(n, summarizeSecond(n, answers))
	}
}
