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

// Run plays a workload once. Set the exported fields before Do.
type Run struct {
	Work Work
	// Fronts are the addresses for callers; requests go to each in turn.
	Fronts []string
	// Dial opens connections; nil uses the network.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Fault makes a fault happen; nil where there is none to make.
	Fault func(Fault) error
	// Progress is told of each second that is over; nil if no one listens.
	Progress func(second int, s Second)

	clients []*http.Client
	start   time.Time

	mu      sync.Mutex
	answers []answer
	next    int
}

// answer is what one caller got in the end.
type answer struct {
	class   *Class
	sentAt  time.Duration
	outcome Outcome
	// first is the time to the first event or to the answer, pause the longest
	// one between events.
	first      time.Duration
	longestGap time.Duration
}

// Outcome is how a request ended.
type Outcome int

// The ends of requests.
const (
	OutcomeInTarget Outcome = iota
	OutcomeLate
	OutcomeRefused
	OutcomeFailed
)

// Do plays the workload and returns what its callers got.
func (r *Run) Do(ctx context.Context) (Report, error) {
	for range r.Fronts {
		r.clients = append(r.clients, &http.Client{Transport: &http.Transport{DialContext: r.Dial, MaxIdleConnsPerHost: 64}})
	}
	r.start = time.Now()
	var callers, rest sync.WaitGroup
	for i := range r.Work.Classes {
		rest.Go(func() { r.sendClass(ctx, &r.Work.Classes[i], uint64(i), &callers) })
	}
	faults := make(chan error, len(r.Work.Faults))
	for _, f := range r.Work.Faults {
		rest.Go(func() { faults <- r.applyFault(ctx, f) })
	}
	done := make(chan struct{})
	var told sync.WaitGroup
	told.Go(func() { r.reportProgress(done) })
	rest.Wait()
	callers.Wait()
	close(done)
	told.Wait()
	close(faults)
	for _, c := range r.clients {
		c.CloseIdleConnections()
	}
	for err := range faults {
		if err != nil {
			return Report{}, err
		}
	}
	return r.report(), ctx.Err()
}

// sendClass sends the requests of a class at random moments of its rate.
func (r *Run) sendClass(ctx context.Context, c *Class, n uint64, callers *sync.WaitGroup) {
	random := rand.New(rand.NewPCG(r.Work.Seed, n))
	at := time.Duration(0)
	for k := 0; ; k++ {
		rate := c.Rate * r.rateFactor(c, at)
		if rate <= 0 {
			return
		}
		at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		if at > r.Work.Span || !feed.Sleep(ctx, time.Until(r.start.Add(at))) {
			return
		}
		id, sent := fmt.Sprintf("%s-%d", c.Name, k), at
		callers.Go(func() { r.runCaller(ctx, c, id, sent) })
	}
}

// rateFactor is how much higher than usual the rate of a class is.
func (r *Run) rateFactor(c *Class, at time.Duration) float64 {
	out := 1.0
	for _, b := range r.Work.Bursts {
		if (b.Class == "" || b.Class == c.Name) && at >= b.At && at < b.At+b.For {
			out *= b.Times
		}
	}
	return out
}

func (r *Run) applyFault(ctx context.Context, f Fault) error {
	if !feed.Sleep(ctx, f.At) {
		return nil
	}
	return r.Fault(f)
}

// runCaller is one caller: it comes back when it is told to.
func (r *Run) runCaller(ctx context.Context, c *Class, id string, at time.Duration) {
	until := time.Now().Add(c.Deadline)
	ctx, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	start := time.Now()
	var a answer
	for try := 0; ; try++ {
		var again time.Duration
		a, again = r.request(ctx, c, fmt.Sprintf("%s-%d", id, try), start, time.Until(until))
		if a.outcome != OutcomeRefused || try >= c.Retries || !feed.Sleep(ctx, again) {
			break
		}
	}
	a.class, a.sentAt = c, at
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answers = append(r.answers, a)
}

func (r *Run) nextFront() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.next++
	return r.next % len(r.Fronts)
}

// request makes one request; again is when a refused caller may come back.
func (r *Run) request(ctx context.Context, c *Class, id string, start time.Time, left time.Duration) (a answer, again time.Duration) {
	a = answer{outcome: OutcomeFailed}
	tokens := ""
	if c.Prompt > 0 {
		tokens = fmt.Sprintf("%d,%d", c.Prompt, c.Answer)
	}
	n := r.nextFront()
	req, err := stand.NewRequest(ctx, c.Method, "http://"+r.Fronts[n]+c.Path, id, tokens)
	if err != nil {
		return a, 0
	}
	stand.SetDeadline(req, left)
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

// read takes an answer to its end and returns how many events it had, in order.
func (a *answer) read(body io.Reader, start time.Time) (events int, err error) {
	last := start
	lines := bufio.NewReader(body)
	for {
		line, err := lines.ReadString('\n')
		if text, ok := strings.CutPrefix(line, "id: "); ok {
			if id, err := strconv.Atoi(strings.TrimSpace(text)); err != nil || id != events+1 {
				return events, fmt.Errorf("event %q after %d", text, events)
			}
			pause := time.Since(last)
			last = time.Now()
			if events == 0 {
				a.first = pause
			} else {
				a.longestGap = max(a.longestGap, pause)
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

// reportProgress reports each second that is over.
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
		all := append([]answer(nil), r.answers...)
		r.mu.Unlock()
		r.Progress(n, summarizeSecond(n, all))
	}
}
