package relay

import (
	"context"
	"io"
	"net/http"
	"os"

	"fulmarwick/internal/base/site"
	"fulmarwick/internal/wire/flow"
	"fulmarwick/internal/wire/send"

	"github.com/go-faster/errors"
)

// fly makes one run.
func (s *stream) fly(f *Flight) error {
	chain, hops := f.Chain()
	first := chain[0].Engine()
	conn, err := s.models.Pool.Get(s.ctx, hops[0].Address, s.fresh || !s.call.Route.Repeatable())
	if err != nil {
		if s.ctx.Err() == nil {
			s.models.Paths.Doubt(s.call.Service.Name, first)
		}
		s.avoid = append(s.avoid, first)
		return errUnsent
	}
	stop := context.AfterFunc(s.ctx, conn.Close)
	defer stop()
	if !f.onMove(conn.Close) || s.ctx.Err() != nil {
		conn.Close()
		return errUnsent
	}
	defer f.onMove(nil)
	forward := site.Forward{Expect: first, Path: hops, After: s.last}
	if err := conn.Write(s.call.request(s.models.Dialect, forward), s.call.Until); err != nil {
		conn.Close()
		return s.cut(f, conn, err)
	}
	conn.SetReadDeadline(s.call.Until)
	return s.read(f, conn)
}

// cut finds out why a run broke.
func (s *stream) cut(f *Flight, conn *send.Conn, err error) error {
	switch {
	case f.isMoved():
		return errMoved
	case errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(s.ctx.Err(), context.DeadlineExceeded):
		return errTimeout
	case s.ctx.Err() != nil:
		return errCaller
	}
	if conn.Reused() && f.Events() == 0 {
		// The engine may just have closed a kept connection. A new one tells
		// whether it lives.
		s.fresh = true
		return errStale
	}
	chain, _ := f.Chain()
	s.models.Paths.Doubt(s.call.Service.Name, chain[0].Engine())
	s.avoid = append(s.avoid, chain[0].Engine())
	return err
}

// read takes the answer of a run.
func (s *stream) read(f *Flight, conn *send.Conn) error {
	resp, head, err := s.call.answer(s.models.Dialect, conn)
	if err != nil {
		conn.Close()
		return s.cut(f, conn, err)
	}
	// A body that is not read to its end belongs to a connection that is closed
	// by then, so that this does not wait for the rest.
	defer func() { _ = resp.Body.Close() }()
	if head.NotRun || resp.StatusCode != http.StatusOK || !head.Sealed {
		err := s.rejected(f, resp, head)
		conn.Close()
		return err
	}
	err = s.events(f, resp)
	if err != nil {
		conn.Close()
		if errors.Is(err, errCaller) {
			return err
		}
		return s.cut(f, conn, err)
	}
	s.models.Pool.Return(conn, resp)
	return nil
}

// rejected takes an answer that is no stream.
func (s *stream) rejected(f *Flight, resp *http.Response, head site.Answer) error {
	s.avoid = append(s.avoid, s.models.Paths.Refused(f, head.Fault))
	if head.NotRun {
		return errNotRun
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxPlain))
	if err != nil || !head.Sealed {
		return errors.Wrap(send.ErrRead, "failure without its whole body or seal")
	}
	Strip(resp.Header)
	s.answer = &Reply{Status: resp.StatusCode, Header: resp.Header, Body: body, Ran: true, Tried: s.runs}
	return errStatus
}

// events passes on the events of a run.
func (s *stream) events(f *Flight, resp *http.Response) error {
	r := flow.NewReader(resp.Body, eventBuffer, s.last)
	for {
		event, err := r.Next()
		if errors.Is(err, io.EOF) {
			// An answer may have no event left after the one that its caller
			// has; without its head it would look like an answer of ours.
			s.head(resp)
			return nil
		}
		if err != nil {
			return err
		}
		f.touch()
		s.pace.event(s.call.Start, f)
		if r.Seen() == 1 {
			s.models.Paths.Wrote(f)
		}
		s.head(resp)
		if err := s.sink.Event(event, r.Buffered() == 0); err != nil {
			return errors.Wrap(errCaller, err.Error())
		}
		s.last = r.Last()
	}
}

// head passes on the head of the first run that brings an answer.
func (s *stream) head(resp *http.Response) {
	if s.begun {
		return
	}
	s.begun = true
	Strip(resp.Header)
	s.sink.Head(resp.StatusCode, resp.Header)
}
