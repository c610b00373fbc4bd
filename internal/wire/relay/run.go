package relay

import (
	"context"
	"io"
	"net/http"
	"os"

	"fulmarwick/internal/base/site"
	"fulmarwick/internal/wire/client"
	"fulmarwick/internal/wire/events"

	"github.com/go-faster/errors"
)

// runOnce makes one run.
func (s *modelCall) runOnce(f *Run) error {
	chain, hops := f.Chain()
	first := chain[0].Engine()
	conn, err := s.runner.Pool.Get(s.ctx, hops[0].Address, s.forceNewConn || !s.call.Route.Retryable())
	if err != nil {
		if s.ctx.Err() == nil {
			s.runner.Paths.ReportConnFailure(s.call.Service.Name, first)
		}
		s.avoid = append(s.avoid, first)
		return errUnsent
	}
	stop := context.AfterFunc(s.ctx, conn.Close)
	defer stop()
	if !f.onReroute(conn.Close) || s.ctx.Err() != nil {
		conn.Close()
		return errUnsent
	}
	defer f.onReroute(nil)
	forward := site.ForwardHeader{Expect: first, Path: hops, LastEventID: s.lastEventID}
	if err := conn.WriteRequest(s.call.newRequest(s.runner.Dialect, forward), s.call.Deadline); err != nil {
		conn.Close()
		return s.classifyBreak(f, conn, err)
	}
	conn.SetReadDeadline(s.call.Deadline)
	return s.readResponse(f, conn)
}

// classifyBreak finds out why a run broke.
func (s *modelCall) classifyBreak(f *Run, conn *client.Conn, err error) error {
	switch {
	case f.isRerouted():
		return errRerouted
	case errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(s.ctx.Err(), context.DeadlineExceeded):
		return errTimeout
	case s.ctx.Err() != nil:
		return errCallerGone
	}
	if conn.Reused() && f.EventCount() == 0 {
		// The engine may just have closed a kept connection. A new one tells
		// whether it lives.
		s.forceNewConn = true
		return errStaleConn
	}
	chain, _ := f.Chain()
	s.runner.Paths.ReportConnFailure(s.call.Service.Name, chain[0].Engine())
	s.avoid = append(s.avoid, chain[0].Engine())
	return err
}

// readResponse takes the answer of a run.
func (s *modelCall) readResponse(f *Run, conn *client.Conn) error {
	resp, head, err := s.call.readResponse(s.runner.Dialect, conn)
	if err != nil {
		conn.Close()
		return s.classifyBreak(f, conn, err)
	}
	// A body that is not read to its end belongs to a connection that is closed
	// by then, so that this does not wait for the rest.
	defer func() { _ = resp.Body.Close() }()
	if head.NotExecuted || resp.StatusCode != http.StatusOK || !head.Sealed {
		err := s.handleRejection(f, resp, head)
		conn.Close()
		return err
	}
	err = s.forwardEvents(f, resp)
	if err != nil {
		conn.Close()
		if errors.Is(err, errCallerGone) {
			return err
		}
		return s.classifyBreak(f, conn, err)
	}
	s.runner.Pool.Release(conn, resp)
	return nil
}

// handleRejection takes an answer that is no stream.
func (s *modelCall) handleRejection(f *Run, resp *http.Response, head site.ResponseHeader) error {
	s.avoid = append(s.avoid, s.runner.Paths.RecordRefusal(f, head.FailedAddress))
	if head.NotExecuted {
		return errNotRun
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxPlainBodyBytes))
	if err != nil || !head.Sealed {
		return errors.Wrap(client.ErrRead, "failure without its whole body or seal")
	}
	StripHopByHopHeaders(resp.Header)
	s.errorReply = &Reply{Status: resp.StatusCode, Header: resp.Header, Body: body, MayHaveRun: true, SendCount: s.runs}
	return errEngineStatus
}

// forwardEvents passes on the events of a run.
func (s *modelCall) forwardEvents(f *Run, resp *http.Response) error {
	r := events.NewReader(resp.Body, eventBufferBytes, s.lastEventID)
	for {
		event, err := r.Next()
		if errors.Is(err, io.EOF) {
			// An answer may have no event left after the one that its caller
			// has; without its head it would look like an answer of ours.
			s.writeHead(resp)
			return nil
		}
		if err != nil {
			return err
		}
		f.recordEvent()
		s.timing.record(s.call.Start, f)
		if r.EventsRead() == 1 {
			s.runner.Paths.RecordFirstEvent(f)
		}
		s.writeHead(resp)
		if err := s.sink.WriteEvent(event, r.Buffered() == 0); err != nil {
			return errors.Wrap(errCallerGone, err.Error())
		}
		s.lastEventID = r.LastID()
	}
}

// writeHead passes on the head of the first run that brings an answer.
func (s *modelCall) writeHead(resp *http.Response) {
	if s.started {
		return
	}
	s.started = true
	StripHopByHopHeaders(resp.Header)
	s.sink.WriteHead(resp.StatusCode, resp.Header)
}
