package peer_test

import (
	"bytes"
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/wire/peer"

	"github.com/go-faster/errors"
)

// tokenServer answers a job with numbered tokens. It can fail or block halfway.
type tokenServer struct {
	fault   *peer.Fault
	block   chan struct{}
	stopped chan struct{}
}

func (c *tokenServer) ServeForwarded(ctx context.Context, _ spec.InstanceID, job peer.Job, sink func(peer.Token) error) (peer.End, error) {
	if c.fault != nil {
		return peer.End{Fault: c.fault}, nil
	}
	for i := job.Done; i < job.Limit; i++ {
		if err := sink(peer.Token{Index: i, Text: fmt.Sprintf("t%d ", i)}); err != nil {
			return peer.End{}, err
		}
		if c.block != nil && i == job.Limit/2 {
			select {
			case <-c.block:
			case <-ctx.Done():
				close(c.stopped)
				return peer.End{}, ctx.Err()
			}
		}
	}
	return peer.End{Count: job.Limit, Stop: true}, nil
}

type snapshot []byte

func (s snapshot) Snapshot() []byte { return s }

func job(limit, done int) peer.Job {
	return peer.Job{Request: "r", Team: "t", Class: "c", Model: "m", Text: "hello", Limit: limit, Done: done}
}

func TestFourPeersConnectOverTLS(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, s := newAuthority(t), newSite(t)
		defer s.close()
		for i := range 4 {
			name := fmt.Sprintf("klang-%d", i+1)
			s.add(name, a.config(name), func(h *peer.Hub) {
				h.JobServer = &tokenServer{}
				h.Config = snapshot(bytes.Repeat([]byte("x"), 600_000))
			})
		}
		s.announce()
		s.waitForMembers(3)
		text := ""
		end, err := s.hubs[0].hub.Forward(t.Context(), "klang-3", job(100, 40), func(k peer.Token) error {
			text += k.Text
			return nil
		})
		if err != nil || end.Count != 100 || len(text) != 60*4 {
			t.Errorf("got %d tokens in %d bytes, error %v; want 100 in 240, none", end.Count, len(text), err)
		}
		data, err := s.hubs[1].hub.Snapshot(t.Context(), "klang-4")
		if err != nil || len(data) != 600_000 {
			t.Errorf("got a snapshot of %d bytes, error %v; want 600000, none", len(data), err)
		}
	})
}

// In a rolling upgrade, one instance speaks versions 1 and 2 and the others
// only 1. They use version 1 with each other. An instance that speaks only
// version 3 connects to none of them.
func TestVersionsNegotiate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t)
		defer s.close()
		s.add("old-1", nil, nil)
		s.add("old-2", nil, nil)
		s.add("new-1", nil, func(h *peer.Hub) { h.Low, h.High = 1, 2 })
		s.announce()
		s.waitForMembers(2)
		s.add("far-1", nil, func(h *peer.Hub) { h.Low, h.High = 3, 3 })
		s.announce()
		time.Sleep(10 * time.Second)
		for _, h := range s.hubs[:3] {
			if !h.hasMembers(2) {
				t.Errorf("got a member count other than 2 at %s, want none of version 3", h.name)
			}
		}
	})
}

// A program uses a certificate of another instance, or one signed by another
// CA, to claim an instance's name. All instances refuse it, and the genuine
// ones stay connected.
func TestForeignCertificatesAreRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, s := newAuthority(t), newSite(t)
		defer s.close()
		s.add("klang-1", a.config("klang-1"), nil)
		s.add("klang-2", a.config("klang-2"), nil)
		s.add("klang-3", a.config("klang-9"), nil)
		s.add("klang-4", newAuthority(t).config("klang-4"), nil)
		s.announce()
		time.Sleep(30 * time.Second)
		for _, h := range s.hubs[:2] {
			if !h.hasMembers(1) {
				t.Errorf("got a member count other than 1 at %s, want only the genuine instance", h.name)
			}
		}
		for _, h := range s.hubs[2:] {
			if !h.hasMembers(0) {
				t.Errorf("got members at %s, want none", h.name)
			}
		}
	})
}

// The caller goes away in the middle of a forwarded answer. The work at the
// other instance must stop too, so that no engine generates tokens that nobody
// reads.
func TestCancelReachesTheServingSide(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t)
		defer s.close()
		server := &tokenServer{block: make(chan struct{}), stopped: make(chan struct{})}
		s.add("a", nil, nil)
		s.add("b", nil, func(h *peer.Hub) { h.JobServer = server })
		s.announce()
		s.waitForMembers(1)
		ctx, cancel := context.WithCancel(t.Context())
		_, err := s.hubs[0].hub.Forward(ctx, "b", job(10, 0), func(k peer.Token) error {
			if k.Index == 5 {
				cancel()
			}
			return nil
		})
		if !errors.Is(err, context.Canceled) {
			t.Errorf("got %v, want canceled", err)
		}
		<-server.stopped
		synctest.Wait()
		if got := s.hubs[1].hub.Jobs(); got != 0 {
			t.Errorf("got %d jobs left, want 0", got)
		}
	})
}

// The instance that serves a forwarded request loses its connection halfway.
// The forwarding side gets the tokens received so far and an error that says
// that the answer is incomplete.
func TestInterruptedForwardIsBroken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t)
		defer s.close()
		server := &tokenServer{block: make(chan struct{}), stopped: make(chan struct{})}
		s.add("a", nil, nil)
		s.add("b", nil, func(h *peer.Hub) { h.JobServer = server })
		s.announce()
		s.waitForMembers(1)
		got := 0
		_, err := s.hubs[0].hub.Forward(t.Context(), "b", job(10, 0), func(k peer.Token) error {
			if got++; k.Index == 5 {
				s.sever("10.0.0.2:7000")
				s.sever("10.0.0.1:7000")
			}
			return nil
		})
		if !errors.Is(err, peer.ErrBroken) || got != 6 {
			t.Errorf("got %v after %d tokens, want broken after 6", err, got)
		}
		<-server.stopped
	})
}

func TestForwardIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t)
		defer s.close()
		s.add("a", nil, nil)
		s.add("b", nil, func(h *peer.Hub) {
			h.JobServer = &tokenServer{fault: &peer.Fault{Code: "full", Ran: "no", After: 2000}}
		})
		s.announce()
		s.waitForMembers(1)
		sink := func(peer.Token) error { return nil }
		second := job(10, 0)
		second.Hops = 1
		if _, err := s.hubs[0].hub.Forward(t.Context(), "b", second, sink); !errors.Is(err, peer.ErrRefused) {
			t.Errorf("got %v for a second hop, want refused", err)
		}
		if _, err := s.hubs[0].hub.Forward(t.Context(), "c", job(1, 0), sink); !errors.Is(err, peer.ErrRefused) {
			t.Errorf("got %v for an unknown instance, want refused", err)
		}
		var fault *peer.FaultError
		if _, err := s.hubs[0].hub.Forward(t.Context(), "b", job(1, 0), sink); !errors.As(err, &fault) || fault.Fault.After != 2000 {
			t.Errorf("got %v, want the other side's fault", err)
		}
		if _, err := s.hubs[1].hub.Forward(t.Context(), "a", job(1, 0), sink); !errors.As(err, &fault) || fault.Fault.Code != "not-served" {
			t.Errorf("got %v, want not-served", err)
		}
		if _, err := s.hubs[0].hub.Snapshot(t.Context(), "b"); !errors.Is(err, peer.ErrRefused) {
			t.Errorf("got %v for a missing snapshot, want refused", err)
		}
	})
}
