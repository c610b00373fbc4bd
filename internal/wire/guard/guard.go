package guard

import (
	"context"
	"net"
	"net/http"
	"time"
)

// unreadTimeout limits the wait for the rest of a body that is not read, after which its connection can be used
// for the next request.
const unreadTimeout = time.Second

// Limits are the limits of a connection. Zero means no limit.
type Limits struct {
	// HeadBytes is the largest head of an HTTP/1 request. A head is cut off only where it exceeds this by
	// more than is read ahead.
	HeadBytes int
	// HeadTimeout limits the time from the first byte of a head to its end.
	HeadTimeout time.Duration
	// IdleTimeout limits the time between two requests.
	IdleTimeout time.Duration
	// WriteTimeout limits the time in which a caller takes a piece of an answer.
	WriteTimeout time.Duration
}

// Guard applies limits to the connections and requests of an address. Set the exported fields before Attach.
type Guard struct {
	// Account is what callers hold; several addresses may share it.
	Account *Account
	// Limits returns the limits in force.
	Limits func() Limits
	// Refuse answers a request for whose head there is no room.
	Refuse http.Handler
	// Upgrades means that connections are upgraded to another protocol, which needs receive buffers of the usual
	// size. No limit applies after the upgrade.
	Upgrades bool
}

// connKey and claimKey are the context keys of a request's connection and claim.
type (
	connKey  struct{}
	claimKey struct{}
)

// Attach makes a server apply the limits, and returns the listener that it must serve.
func (g *Guard) Attach(s *http.Server, l net.Listener) net.Listener {
	s.Handler = g.handler(s.Handler)
	// Each request must pass the handler, also OPTIONS *.
	s.DisableGeneralOptionsHandler = true
	s.ConnState = func(n net.Conn, state http.ConnState) {
		if c, ok := unwrap(n).(*conn); ok {
			c.setState(state)
		}
	}
	s.ConnContext = func(ctx context.Context, n net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, unwrap(n))
	}
	return &listener{Listener: l, guard: g}
}

// unwrap returns the connection below TLS.
func unwrap(n net.Conn) net.Conn {
	if t, ok := n.(interface{ NetConn() net.Conn }); ok {
		return t.NetConn()
	}
	return n
}

// handler counts what each request holds until its end.
func (g *Guard) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(*conn); ok {
			c.startRequest()
		}
		if r.ProtoMajor == 2 {
			g.serveStream(w, r, next)
			return
		}
		control := http.NewResponseController(w)
		if r.ContentLength != 0 {
			// A refusal must not wait for a body that does not come. Reading the body sets
			// another deadline.
			_ = control.SetReadDeadline(time.Now().Add(unreadTimeout))
		}
		claim := g.Account.Open(true, func() { _ = control.SetReadDeadline(time.Now()) })
		defer claim.Close()
		if !claim.Grow(HeadCost(r)) {
			g.Refuse.ServeHTTP(w, r)
			return
		}
		next.ServeHTTP(w, r.WithContext(withClaim(r.Context(), claim)))
	})
}

// withClaim returns a context for the request that a claim belongs to.
func withClaim(ctx context.Context, c *Claim) context.Context {
	return context.WithValue(ctx, claimKey{}, c)
}

// HeadCost returns what the head of a request takes in memory.
func HeadCost(r *http.Request) int64 {
	n := len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		n += len(name) + len(values)*lineBytes
		for _, v := range values {
			n += len(v)
		}
	}
	return int64(n)
}
