package relay

import (
	"context"
	"io"
	"net/http"
	"time"

	"fulmarwick/internal/base/site"
	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/least"
	"fulmarwick/internal/wire/send"

	"github.com/go-faster/errors"
)

// Upstreams chooses among the upstreams of plain services and learns from how
// requests ended there.
type Upstreams interface {
	Pick(service string, avoid []spec.UpstreamID) (site.Upstream, bool)
	// Done learns how the request with a fingerprint ended.
	Done(up site.Upstream, print uint64, took time.Duration, end least.End)
	Rest(up site.Upstream)
	Load(up site.Upstream, l site.Load)
	Usual(up site.Upstream) time.Duration
}

// Budget bounds how often requests are sent again.
type Budget interface {
	First(service string)
	Again(service string) bool
}

const (
	// maxPlain bounds the body of a plain answer in bytes: it is kept whole
	// before any of it is passed on, so that a broken one can be made good.
	maxPlain = 8 << 20
	// maxSends bounds how often one call is sent, refusals included.
	maxSends = 4
	// hedgeTimes is after how many usual times a second upstream is asked as
	// well, hedgeLeast the least such time: 1 in 100 answers takes five times
	// the usual work.
	hedgeTimes = 3
	hedgeLeast = 40 * time.Millisecond
	// comeBack is the pause told to callers of a plain service without a free
	// place: several answers at their usual time.
	comeBack = 200 * time.Millisecond
)

// Plain runs calls on plain services. Set the exported fields before use.
type Plain struct {
	Dialect   Dialect
	Pool      *send.Pool
	Upstreams Upstreams
	Budget    Budget
	// Suspects knows requests that crash upstreams.
	Suspects Suspects
}

// try is one send and how it ended.
type try struct {
	up     site.Upstream
	answer *Reply
	// notRun means that the upstream has not run the call and never will.
	notRun bool
	// unread means that no byte of the call was sent.
	unread bool
	err    error
}

// good reports whether the answer needs no second try.
func (t *try) good() bool { return t.answer != nil && t.answer.Status < http.StatusInternalServerError }

// Do runs the call and returns its final answer.
func (p *Plain) Do(ctx context.Context, c *Call) Reply {
	ctx, cancel := context.WithDeadline(ctx, c.Until)
	defer cancel()
	if p.Suspects.Guilty(c.Print()) {
		return Reply{Reason: ReasonPoison}
	}
	p.Budget.First(c.Service.Name)
	r := &race{plain: p, call: c, ctx: ctx, ends: make(chan *try, maxSends)}
	return r.run()
}

// race is the tries of one call. A call that is idempotent may have two on
// their way; any other has one, and a second only if the first has not run.
type race struct {
	plain *Plain
	call  *Call
	ctx   context.Context
	ends  chan *try

	tried  []site.Upstream
	flying int
	// ran counts upstreams that may have run the call.
	ran  int
	last *try
}

func (r *race) run() Reply {
	if !r.start() {
		return Reply{Reason: ReasonNobody, After: comeBack}
	}
	hedge := time.NewTimer(r.patience())
	defer hedge.Stop()
	for {
		select {
		case t := <-r.ends:
			r.flying--
			if reply, done := r.ended(t); done {
				return r.named(reply)
			}
		case <-hedge.C:
			if r.repeatable() {
				r.again()
			}
		case <-r.ctx.Done():
			return r.named(r.giveUp())
		}
	}
}

// named adds which upstreams the call was sent to.
func (r *race) named(reply Reply) Reply {
	for _, up := range r.tried {
		reply.Upstreams = append(reply.Upstreams, up.ID)
	}
	return reply
}

func (r *race) repeatable() bool {
	return r.call.Route.Repeatable() && r.ran+r.flying < r.call.Route.Attempts
}

func (r *race) patience() time.Duration {
	if !r.call.Route.Repeatable() || r.call.Route.Attempts < 2 {
		return time.Until(r.call.Until) + time.Second
	}
	return max(hedgeLeast, hedgeTimes*r.plain.Upstreams.Usual(r.tried[0]))
}

// start sends the call to the next upstream.
func (r *race) start() bool {
	if len(r.tried) >= maxSends {
		return false
	}
	var avoid []spec.UpstreamID
	for _, up := range r.tried {
		avoid = append(avoid, up.ID)
	}
	up, ok := r.plain.Upstreams.Pick(r.call.Service.Name, avoid)
	if !ok {
		return false
	}
	r.tried = append(r.tried, up)
	r.flying++
	go func() { r.ends <- r.plain.once(r.ctx, r.call, up) }()
	return true
}

func (r *race) again() bool {
	return len(r.tried) < maxSends && !r.plain.Suspects.Guilty(r.call.Print()) && r.plain.Budget.Again(r.call.Service.Name) && r.start()
}

// ended judges a try; done is false while another one may still do better.
func (r *race) ended(t *try) (reply Reply, done bool) {
	if t.good() {
		return r.answer(t), true
	}
	if !t.notRun && !t.unread {
		r.ran++
		r.last = t
	}
	if r.last == nil {
		r.last = t
	}
	if r.ctx.Err() != nil {
		return r.giveUp(), true
	}
	if t.notRun || t.unread || r.repeatable() {
		if r.again() {
			return Reply{}, false
		}
	}
	if r.flying > 0 {
		return Reply{}, false
	}
	return r.failed(), true
}

func (r *race) answer(t *try) Reply {
	reply := *t.answer
	reply.Tried = len(r.tried)
	reply.Ran = true
	r.plain.Suspects.Innocent(r.call.Print())
	return reply
}

// failed is the answer after the last try.
func (r *race) failed() Reply {
	if r.last.answer != nil && !r.last.notRun {
		return r.answer(r.last)
	}
	if r.ran > 0 {
		return Reply{Reason: ReasonLost, Ran: true, Tried: len(r.tried)}
	}
	return Reply{Reason: ReasonRefused, After: comeBack, Tried: len(r.tried)}
}

// giveUp is the answer when the caller left or the time is over. A try that is
// still on its way may run.
func (r *race) giveUp() Reply {
	reply := Reply{Reason: ReasonTimeout, Ran: r.flying > 0 || r.ran > 0, Tried: len(r.tried)}
	if errors.Is(r.ctx.Err(), context.Canceled) {
		reply.Reason = ReasonLeft
	}
	return reply
}

// once sends the call to one upstream and reads its whole answer.
func (p *Plain) once(ctx context.Context, c *Call, up site.Upstream) *try {
	start := time.Now()
	span := hop(ctx, up.ID)
	t := p.exchange(ctx, c, up)
	landed(span, t.err)
	end := least.EndOK
	switch {
	case t.notRun || t.unread:
		end = least.EndRefused
	case t.err != nil && errors.Is(ctx.Err(), context.Canceled):
		end = least.EndUnknown
	case t.err != nil:
		end = least.EndLost
	case !t.good():
		end = least.EndFailed
	}
	p.Upstreams.Done(up, c.Print(), time.Since(start), end)
	return t
}

func (p *Plain) exchange(ctx context.Context, c *Call, up site.Upstream) *try {
	t := &try{up: up}
	conn, err := p.Pool.Get(ctx, up.Address, c.Route.Kind != site.KindSafe)
	if err != nil {
		if ctx.Err() == nil {
			p.Upstreams.Rest(up)
		}
		t.unread, t.err = true, err
		return t
	}
	stop := context.AfterFunc(ctx, conn.Close)
	defer stop()
	if ctx.Err() != nil {
		t.unread, t.err = true, ctx.Err()
		return t
	}
	if err := conn.Write(c.request(p.Dialect, site.Forward{Expect: up.ID}), c.Until); err != nil {
		conn.Close()
		t.err = err
		return t
	}
	t.answer, t.notRun, t.err = p.read(conn, c, up)
	return t
}

// read takes an answer. The connection is kept if it ended properly.
func (p *Plain) read(conn *send.Conn, c *Call, up site.Upstream) (reply *Reply, notRun bool, err error) {
	resp, head, err := c.answer(p.Dialect, conn)
	if err != nil {
		conn.Close()
		return nil, false, err
	}
	// What is not read belongs to a connection that is closed by then.
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxPlain+1))
	if err != nil || len(body) > maxPlain {
		conn.Close()
		return nil, false, errors.Wrap(send.ErrRead, "answer cut or too long")
	}
	p.Pool.Return(conn, resp)
	if head.Load != nil {
		p.Upstreams.Load(up, *head.Load)
	}
	if !head.NotRun && !head.Sealed {
		// Bytes without a seal are not an answer that may be passed on.
		return nil, false, errors.Wrapf(send.ErrRead, "answer with status %d has no seal", resp.StatusCode)
	}
	Strip(resp.Header)
	return &Reply{Status: resp.StatusCode, Header: resp.Header, Body: body}, head.NotRun, nil
}
