// Package caller is a stand-in for the client library of a caller behind a load
// balancer. It resumes interrupted streams and retries calls at another instance.
//
// It imports the standard library only. End-to-end tests run many Callers and
// compare the answers with those of the stand-in model.
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

// errCut means that a stream ended before its end mark.
var errCut = errors.New("caller: stream ended without end mark")

const (
	// retryDelay is the delay before a retry if the response names none.
	retryDelay = 20 * time.Millisecond
	// doneMark is the data of the last event of a complete stream.
	doneMark = "[DONE]"
)

// Balancer hands out the base URLs of the entry instances, round robin.
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

// Caller sends a request and retries it until it has an answer. Set the exported
// fields before use.
type Caller struct {
	Balancer *Balancer
	HTTP     *http.Client
	// Key is the API key of the caller's team.
	Key string
	// Class is sent as X-Class if it is set.
	Class string
}

// Answer is the result of a streamed request.
type Answer struct {
	// Text is the text of all tokens.
	Text string
	// Tokens is how many token events were received, over all connections.
	Tokens int
	// Cuts is how often a stream was interrupted.
	Cuts int
	// Refusals is how often a request was rejected before it ran.
	Refusals int
	// FirstToken is the time to the first token.
	FirstToken time.Duration
	// MaxGap is the longest time between two tokens.
	MaxGap time.Duration
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

// Stream streams an answer. After each interruption it resumes at the next instance,
// until the answer is complete or ctx ends.
func (c *Caller) Stream(ctx context.Context, model, text string, limit int) (Answer, error) {
	body, err := json.Marshal(map[string]any{
		"model": model, "stream": true, "max_tokens": limit,
		"messages": []map[string]string{{"role": "user", "content": text}},
	})
	if err != nil {
		return Answer{}, errors.Wrap(err, "caller: encode request")
	}
	var a Answer
	start := time.Now()
	for ctx.Err() == nil {
		wait, err := c.attemptStream(ctx, body, &a, start)
		if err == nil {
			return a, nil
		}
		sleep(ctx, wait)
	}
	return a, errors.Wrap(ctx.Err(), "caller: answer incomplete")
}

func (c *Caller) attemptStream(ctx context.Context, body []byte, a *Answer, start time.Time) (time.Duration, error) {
	req, err := c.newRequest(ctx, "/v1/chat/completions", body)
	if err != nil {
		return retryDelay, err
	}
	if a.lastEventID != "" {
		req.Header.Set("Last-Event-ID", a.lastEventID)
	}
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return retryDelay, errors.Wrap(err, "caller: send request")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		a.Refusals++
		return retryAfter(resp), errors.Errorf("caller: status %d", resp.StatusCode)
	}
	err = a.readEvents(resp.Body, start)
	if err != nil {
		a.Cuts++
	}
	return retryDelay, err
}

func (c *Caller) newRequest(ctx context.Context, path string, body []byte) (*http.Request, error) {
	base := c.Balancer.pick()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, base+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "caller: create request")
	}
	req.Header.Set("Authorization", "Bearer "+c.Key)
	req.Header.Set("Content-Type", "application/json")
	if c.Class != "" {
		req.Header.Set("X-Class", c.Class)
	}
	return req, nil
}

// readEvents reads events up to the end mark. It returns errCut if there is none.
func (a *Answer) readEvents(r io.Reader, start time.Time) error {
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
		if err := a.handleEvent(data, id, start); err != nil {
			return err
		}
	}
	return errCut
}

func (a *Answer) handleEvent(data, id string, start time.Time) error {
	var c chunk
	if err := json.Unmarshal([]byte(data), &c); err != nil {
		return errors.Wrap(err, "caller: decode event")
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
	a.recordTiming(start)
	return nil
}

func (a *Answer) recordTiming(start time.Time) {
	now := time.Now()
	if a.Tokens == 1 {
		a.FirstToken = now.Sub(start)
	} else {
		a.MaxGap = max(a.MaxGap, now.Sub(a.lastTokenAt))
	}
	a.lastTokenAt = now
}

// Outcome is how a call ended, as reported to the caller.
type Outcome struct {
	// State is done, notrun or unsure.
	State string
	// Body is the body of the last response.
	Body string
	// Attempts is how often the call was sent under its key.
	Attempts int
}

// Call sends a call with an idempotency key. While the response is not final, it
// sends the call again with the same key at the next instance, until ctx ends.
func (c *Caller) Call(ctx context.Context, class, key, body string) (Outcome, error) {
	var o Outcome
	for ctx.Err() == nil {
		o.Attempts++
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

// callState returns the final state that the body of a rejection reports: "unsure",
// "notrun", or "" if the state is not final.
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
	// Tests run in real time. Waiting a full second for each rejection would only
	// make them slow.
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
