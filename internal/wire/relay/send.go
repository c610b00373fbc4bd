package relay

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"fulmarwick/internal/base/site"
	"fulmarwick/internal/route/ewma"
	"fulmarwick/internal/wire/client"
)

// sendOnce sends the call to one upstream and reads the complete response.
func (p *PlainRunner) sendOnce(ctx context.Context, c *Call, up site.Upstream) *sendResult {
	start := time.Now()
	span := startSendSpan(ctx, up.ID)
	result := p.exchange(ctx, c, up)
	endSendSpan(span, result.err)
	outcome := ewma.OutcomeOK
	switch {
	case errors.Is(result.err, errNotAccepting):
		outcome = ewma.OutcomeUnknown
	case result.notRun || result.unsent:
		outcome = ewma.OutcomeRefused
	case result.err != nil && errors.Is(ctx.Err(), context.Canceled):
		outcome = ewma.OutcomeUnknown
	case result.err != nil:
		outcome = ewma.OutcomeLost
	case !result.succeeded():
		outcome = ewma.OutcomeFailed
	}
	p.Upstreams.RecordOutcome(up, SentRequest{Suspects: c.Suspects(), Began: start, Deadline: c.Deadline, Outcome: outcome, End: result.end()})
	return result
}

func (p *PlainRunner) exchange(ctx context.Context, c *Call, up site.Upstream) *sendResult {
	result := &sendResult{upstream: up}
	conn, err := p.Pool.Get(ctx, up.Address, c.Route.Kind != site.KindSafe)
	if err != nil {
		if ctx.Err() == nil {
			p.Upstreams.StartCooldown(up)
		}
		result.unsent, result.err = true, err
		return result
	}
	if !p.Notices.AcceptsRequests(up.ID) {
		// The upstream said so after it was chosen.
		p.Pool.Put(conn)
		result.unsent, result.err = true, errNotAccepting
		return result
	}
	stop := context.AfterFunc(ctx, conn.Close)
	defer stop()
	if ctx.Err() != nil {
		result.unsent, result.err = true, ctx.Err()
		return result
	}
	sentAt := time.Now()
	if err := conn.WriteRequest(c.newRequest(p.Dialect, site.ForwardHeader{Expect: up.ID}), c.Deadline); err != nil {
		conn.Close()
		result.err = err
		return result
	}
	result.response, result.notRun, result.err = p.readResponse(conn, c, up, sentAt)
	return result
}

// readResponse reads a response. The connection is reused if the response ended
// properly. The body counts as memory in use until the answer was written.
func (p *PlainRunner) readResponse(conn *client.Conn, c *Call, up site.Upstream, sentAt time.Time) (reply *Reply, notRun bool, err error) {
	resp, head, err := c.readResponse(p.Dialect, p.Notices, conn, up.ID, sentAt)
	if err != nil {
		conn.Close()
		return nil, false, err
	}
	// If a part of the body is unread here, the connection is closed already.
	defer func() { _ = resp.Body.Close() }()
	body, release, err := p.Memory.ReadAll(resp.Body, maxPlainBodyBytes)
	c.holdMemory(release)
	if err != nil {
		conn.Close()
		return nil, false, errors.Wrap(client.ErrRead, err.Error())
	}
	p.Pool.Release(conn, resp)
	if head.Load != nil {
		p.Upstreams.ApplyReportedLoad(up, *head.Load)
	}
	if !head.NotExecuted && !head.Sealed {
		// Only a response with a seal is known to come from an upstream and may be
		// forwarded.
		return nil, false, errors.Wrapf(client.ErrRead, "response with status %d has no seal", resp.StatusCode)
	}
	StripHopByHopHeaders(resp.Header)
	return &Reply{Status: resp.StatusCode, Header: resp.Header, Body: body}, head.NotExecuted, nil
}
