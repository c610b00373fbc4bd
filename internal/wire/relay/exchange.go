package relay

import (
	"context"
	"io"
	"net/http"
	"os"

	"fulmarwick/internal/base/site"
	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/crash"
	"fulmarwick/internal/wire/client"
	"fulmarwick/internal/wire/events"

	"github.com/go-faster/errors"
)

// runOnce sends the request over the path of a run and forwards the answer.
func (c *modelCall) runOnce(run *Run) error {
	chain, hops := run.Chain()
	first := chain[0].Engine()
	conn, err := c.runner.Pool.Get(c.ctx, hops[0].Address, c.forceNewConn || !c.call.Route.Retryable())
	if err != nil {
		if c.ctx.Err() == nil {
			c.runner.Paths.ReportConnFailure(c.call.Service.Name, first)
		}
		c.avoid = append(c.avoid, first)
		c.unreached = true
		return errUnsent
	}
	if !c.acceptsRequests(chain) {
		c.runner.Pool.Put(conn)
		return errUnsent
	}
	stop := context.AfterFunc(c.ctx, conn.Close)
	defer stop()
	if !run.onReroute(conn.Close) || c.ctx.Err() != nil {
		conn.Close()
		return errUnsent
	}
	if c.hasCallerTimedOut() {
		conn.Close()
		return errEventTimeout
	}
	defer run.onReroute(nil)
	forward := site.ForwardHeader{Expect: first, Path: hops, LastEventID: c.lastEventID}
	if err := conn.WriteRequest(c.call.newRequest(c.runner.Dialect, forward), c.call.Deadline); err != nil {
		conn.Close()
		return c.classifyBreak(run, conn, err)
	}
	conn.SetReadDeadline(c.call.Deadline)
	return c.readResponse(run, conn)
}

// acceptsRequests reports whether all engines of a path may still get requests: one may
// have said otherwise after it was chosen.
func (c *modelCall) acceptsRequests(chain spec.Chain) bool {
	for _, stage := range chain {
		if !c.runner.Notices.AcceptsRequests(stage.Engine()) {
			return false
		}
	}
	return true
}

// classifyBreak returns why a run broke off and records the engine that failed.
func (c *modelCall) classifyBreak(run *Run, conn *client.Conn, err error) error {
	switch {
	case run.isRerouted():
		return errRerouted
	case errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(c.ctx.Err(), context.DeadlineExceeded):
		return errTimeout
	case c.ctx.Err() != nil:
		return errCallerGone
	}
	if conn.Reused() && run.EventCount() == 0 {
		// The engine may merely have closed the idle connection. A new connection
		// shows whether the engine is alive.
		c.forceNewConn = true
		if errors.Is(err, client.ErrWrite) {
			return errUnwritten
		}
		return errStaleConn
	}
	chain, _ := run.Chain()
	c.runner.Paths.ReportBrokenRun(run)
	c.avoid = append(c.avoid, chain[0].Engine())
	return err
}

// readResponse reads and forwards the response of a run.
func (c *modelCall) readResponse(run *Run, conn *client.Conn) error {
	chain, _ := run.Chain()
	resp, head, err := c.call.readResponse(c.runner.Dialect, c.runner.Notices, conn, chain[0].Engine(), run.Start)
	if err != nil {
		conn.Close()
		return c.classifyBreak(run, conn, err)
	}
	// If the body is not read to its end, the connection is closed already, so
	// Close does not wait for the remaining bytes.
	defer func() { _ = resp.Body.Close() }()
	if head.NotExecuted || resp.StatusCode != http.StatusOK || !head.Sealed {
		err := c.handleRejection(run, resp, head)
		conn.Close()
		return err
	}
	err = c.forwardEvents(run, resp)
	if err != nil {
		conn.Close()
		if errors.Is(err, errCallerGone) {
			return err
		}
		return c.classifyBreak(run, conn, err)
	}
	c.runner.Pool.Release(conn, resp)
	return nil
}

// handleRejection handles a response that is not an event stream.
func (c *modelCall) handleRejection(run *Run, resp *http.Response, head site.ResponseHeader) error {
	c.avoid = append(c.avoid, c.runner.Paths.RecordRefusal(run, head.FailedAddress))
	if head.NotExecuted {
		return errNotRun
	}
	body, release, err := c.runner.Memory.ReadAll(resp.Body, maxErrorBodyBytes)
	c.call.holdMemory(release)
	if err != nil || !head.Sealed {
		return errors.Wrap(client.ErrRead, "error response without complete body or seal")
	}
	StripHopByHopHeaders(resp.Header)
	c.errorReply = &Reply{Status: resp.StatusCode, Header: resp.Header, Body: body, MayHaveRun: true, SendCount: c.runs}
	return errEngineStatus
}

// forwardEvents forwards the events of a run to the caller.
func (c *modelCall) forwardEvents(run *Run, resp *http.Response) error {
	r := events.NewReader(resp.Body, eventBufferBytes, c.lastEventID)
	r.HoldUnnumbered = c.call.Route.Resumable
	survived := false
	for {
		event, err := r.Next()
		if errors.Is(err, io.EOF) {
			// A resumed answer may have no events left. Without the engine's
			// headers the response would look like one of the router itself.
			c.writeHead(resp)
			if !survived && run.EventCount() > 0 {
				c.runner.CrashTracker.Survive(c.call.Suspects(), run.FirstEvent())
			}
			return nil
		}
		if err != nil {
			return err
		}
		run.recordEvent()
		c.timing.record(c.call.Start, run)
		if r.EventsRead() == 1 {
			c.runner.Paths.RecordFirstEvent(run)
		}
		if !survived && run.ProducingTime() >= crash.SurvivalTime {
			survived = true
			c.runner.CrashTracker.Survive(c.call.Suspects(), run.FirstEvent())
		}
		c.writeHead(resp)
		if err := c.sink.WriteEvent(event, !r.HasBufferedEvent()); err != nil {
			return errors.Wrap(errCallerGone, err.Error())
		}
		c.lastEventID = r.LastID()
	}
}

// writeHead forwards status and headers of the first run that delivers an answer.
func (c *modelCall) writeHead(resp *http.Response) {
	if c.started {
		return
	}
	c.started = true
	StripHopByHopHeaders(resp.Header)
	c.sink.WriteHead(resp.StatusCode, resp.Header)
}
