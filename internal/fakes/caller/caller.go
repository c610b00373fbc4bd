// Package caller is a stand-in for the client library of a caller behind a
// balancer: it resumes cut streams and repeats calls at another instance.
//
// It imports the standard library only. End-to-end tests run many Callers and
// compare what they got with the oracle.
package caller

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// errCut means that a stream ended without its end mark.
var errCut = errors.New("caller: stream was cut")

const (
	retryDelay = 20 * time.Millisecond
	doneMark   = "[DONE]"
)

// Balancer gives the base URLs of the entry instances in turn.
type Balancer struct {
	mu    sync.Mutex
	bases []string
	next  int
}

// Set replaces the base URLs.
func (b *Balancer) Set(bases []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bases = append([]string(nil), bases...)
}

func (b *Balancer) pick() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.bases) == 0 {
		return ""
	}
	b.next++
	return b.bases[b.next%len(b.bases)]
}

// Caller asks until it has an answer. Set the exported fields before use.
type Caller struct {
	Balancer *Balancer
	HTTP     *http.Client
	Key      string
	// Class is sent as X-Class if it is set.
	Class string
}

// Answer is what a streamed request brought.
type Answer struct {
	Text string
	// Tokens is how many token events came, over all connections.
	Tokens int
	// Cuts is how often a stream broke, Refusals how often a request was
	// refused before it ran.
	Cuts     int
	Refusals int
	// First is the time to the first token and Gap the longest between two.
	First time.Duration
	Gap   time.Duration
	// Finish is the finish reason of the answer.
	Finish      string
	lastTokenAt time.Time
	lastEventID string
}

type chunk struct {
	Choices []struct {
		Delta  struct{ Content string }
		Finish *string `json:"finish_reason"`
	}
	Error *struct{ Code, Message string }
}

// Ask streams an answer, going on at another instance after each cut, until
// it is whole or ctx ends.
func (c *Caller) Ask(ctx context.Context, model, text string, limit int) (Answer, error) {
	body, err := json.Marshal(map[string]any{
		"model": model, "stream": true, "max_tokens": limit,
		"messages": []map[string]string{{"role": "user", "content": text}},
	})
	if err != nil {
		return Answer{}, errors.Wrap(err, "caller: encode")
	}
	var a Answer
	began := time.Now()
	for ctx.Err() == nil {
		wait, err := c.attemptStream(ctx, body, &a, began)
		if err == nil {
			return a, nil
		}
		sleep(ctx, wait)
	}
	return a, errors.Wrap(ctx.Err(), "caller: no whole answer")
}

func (c *Caller) attemptStream(ctx context.Context, body []byte, a *Answer, began time.Time) (time.Duration, error) {
	req, err := c.newRequest(ctx, "/v1/chat/completions", body)
	if err != nil {
		return retryDelay, err
	}
	if a.lastEventID != "" {
		req.Header.Set("Last-Event-ID", a.lastEventID)
	}
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return retryDelay, errors.Wrap(err, "caller: send")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		a.Refusals++
		return retryAfter(resp), errors.Errorf("caller: status %d", resp.StatusCode)
	}
	err = a.readEvents(resp.Body, began)
	if err != nil {
		a.Cuts++
	}
	return retryDelay, err
}

func (c *Caller) newRequest(ctx context.Context, path string, body []byte) (*http.Request, error) {
	base := c.Balancer.pick()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, base+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "caller: request")
	}
	req.Header.Set("Authorization", "Bearer "+c.Key)
	req.Header.Set("Content-Type", "application/json")
	if c.Class != "" {
		req.Header.Set("X-Class", c.Class)
	}
	return req, nil
}

// readEvents takes events until the end mark.
func (a *Answer) readEvents(r io.Reader, began time.Time) error {
	lines := bufio.NewScanner(r)
	id := ""
	for lines.Scan() {
		line := lines.Text()
		if v, ok := strings.CutPrefix(line, "id: "); ok {
			id = v
			continue
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if data == doneMark {
			return nil
		}
		if err := a.handleEvent(data, id, began); err != nil {
			return err
		}
	}
	return errCut
}

func (a *Answer) handleEvent(data, id string, began time.Time) error {
	var c chunk
	if err := json.Unmarshal([]byte(data), &c); err != nil {
		return errors.Wrap(err, "caller: event")
	}
	if c.Error != nil {
		return errors.Errorf("caller: %s: %s", c.Error.Code, c.Error.Message)
	}
	if len(c.Choices) == 0 {
		return nil
	}
	if f := c.Choices[0].Finish; f != nil {
		a.Finish = *f
		return nil
	}
	a.lastEventID = id
	a.Text += c.Choices[0].Delta.Content
	a.Tokens++
	a.recordTiming(began)
	return nil
}

func (a *Answer) recordTiming(began time.Time) {
	now := time.Now()
	if a.Tokens == 1 {
		a.First = now.Sub(began)
	} else {
		a.Gap = max(a.Gap, now.Sub(a.lastTokenAt))
	}
	a.lastTokenAt = now
}

// Outcome is how a call ended, as the caller was told.
type Outcome struct {
	// State is done, notrun or unsure.
	State string
	Body  string
	// Tries is how often the call was sent to the fleet under its key.
	Tries int
}

// Call sends a call under a key once and, when the answer is not final, asks
// for its outcome at any instance until it is or ctx ends.
func (c *Caller) Call(ctx context.Context, class, key, body string) (Outcome, error) {
	var o Outcome
	for ctx.Err() == nil {
		o.Tries++
		state, text, wait := c.attemptCall(ctx, class, key, body)
		if state == "done" || state == "unsure" || state == "notrun" {
			o.State, o.Body = state, text
			return o, nil
		}
		sleep(ctx, wait)
	}
	return o, errors.Wrap(ctx.Err(), "caller: no outcome")
}

func (c *Caller) attemptCall(ctx context.Context, class, key, body string) (state, text string, after time.Duration) {
	req, err := c.newRequest(ctx, "/v1/calls/"+class, []byte(body))
	if err != nil {
		return "", "", retryDelay
	}
	req.Header.Set("Idempotency-Key", key)
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return "", "", retryDelay
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return "", "", retryDelay
	}
	if resp.StatusCode == http.StatusOK {
		return "done", string(data), 0
	}
	return callState(data), string(data), retryAfter(resp)
}

// callState reads what a refusal says of the run.
func callState(data []byte) string {
	var b struct {
		State string
		Error struct{ Code string }
	}
	if json.Unmarshal(data, &b) != nil {
		return ""
	}
	if b.Error.Code == "unsure" || b.State == "unsure" {
		return "unsure"
	}
	if b.Error.Code == "not-run" {
		return "notrun"
	}
	return ""
}

func retryAfter(resp *http.Response) time.Duration {
	seconds, err := strconv.Atoi(resp.Header.Get("Retry-After"))
	if err != nil {
		return retryDelay
	}
	// The tests' clock is the machine's; a full second a refusal would only
	// make them long.
	return min(time.Duration(seconds)*time.Second, 5*retryDelay)
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
