package stage

import (
	"bytes"
	"net/http"
	"time"

	"fulmarwick/internal/base/frame"
	"fulmarwick/internal/fakes/layer"

	"github.com/gorilla/websocket"
)

const (
	bufferBytes = 64 << 10
	// linkReplies is the maximum number of replies in transit on a link.
	linkReplies = 1024
	// linkSteps is the maximum number of steps in transit on a link.
	linkSteps = 1024
)

// link is a connection from a router.
type link struct {
	ws   *websocket.Conn
	out  chan timedFrame
	in   chan timedFrame
	done chan struct{}
}

// timedFrame is a frame in transit. It reaches the other end at time at; the
// zero time means at once.
type timedFrame struct {
	at    time.Time
	step  *frame.Step
	reply *frame.Reply
}

func (e *Engine) handleSteps(w http.ResponseWriter, req *http.Request) {
	up := websocket.Upgrader{ReadBufferSize: bufferBytes, WriteBufferSize: bufferBytes}
	head := http.Header{frame.HeaderIncarnation: {e.incarnationHeader()}}
	ws, err := up.Upgrade(w, req, head)
	if err != nil {
		return
	}
	ws.SetReadLimit(frame.MaxBytes)
	l := &link{
		ws: ws, done: make(chan struct{}),
		out: make(chan timedFrame, linkReplies), in: make(chan timedFrame, linkSteps),
	}
	e.lock()
	e.links[l] = true
	e.mu.Unlock()
	go e.writeReplies(l)
	go e.deliverSteps(l)
	e.readSteps(l)
	close(l.done)
	_ = ws.Close()
	e.orphan(l)
}

// readSteps reads steps from the connection until it fails.
func (e *Engine) readSteps(l *link) {
	for {
		_, data, err := l.ws.ReadMessage()
		if err != nil {
			return
		}
		for len(data) > 0 {
			s := &frame.Step{}
			data, err = frame.NextStep(data, s)
			if err != nil {
				return
			}
			e.receive(l, s)
		}
	}
}

// receive passes a step on after the simulated delay of the link. Without a
// delay it submits the step directly.
func (e *Engine) receive(l *link, s *frame.Step) {
	at := e.arrivalTime(stepBytes(s))
	if at.IsZero() {
		e.submit(s, l)
		return
	}
	select {
	case l.in <- timedFrame{at: at, step: s}:
	case <-l.done:
	}
}

// deliverSteps submits the steps of a link as they arrive.
func (e *Engine) deliverSteps(l *link) {
	for {
		select {
		case <-l.done:
			return
		case next := <-l.in:
			waitUntil(next.at)
			e.submit(next.step, l)
		}
	}
}

// arrivalTime returns when a frame of the given size that is sent now reaches
// the other end. It returns the zero time if the link has no delay.
func (e *Engine) arrivalTime(bytes int) time.Time {
	if e.HopTime == 0 && e.Bandwidth == 0 {
		return time.Time{}
	}
	delay := e.HopTime
	if e.Bandwidth > 0 {
		delay += time.Duration(float64(bytes) / float64(e.Bandwidth) * float64(time.Second))
	}
	return time.Now().Add(delay)
}

func waitUntil(at time.Time) {
	if at.IsZero() {
		return
	}
	if d := time.Until(at); d > 0 {
		time.Sleep(d)
	}
}

// writeReplies sends queued replies. Replies that are due together are sent as
// one message.
func (e *Engine) writeReplies(l *link) {
	var buf bytes.Buffer
	for {
		select {
		case <-l.done:
			return
		case next := <-l.out:
			buf.Reset()
			waitUntil(next.at)
			if !batchReplies(&buf, next, l) || l.ws.WriteMessage(websocket.BinaryMessage, buf.Bytes()) != nil {
				_ = l.ws.Close()
				return
			}
		}
	}
}

// batchReplies appends p and the replies queued after it to buf, up to about
// bufferBytes. It reports whether all of them could be encoded.
func batchReplies(buf *bytes.Buffer, p timedFrame, l *link) bool {
	for {
		if frame.AppendReply(buf, p.reply) != nil {
			return false
		}
		if buf.Len() >= bufferBytes || !p.at.IsZero() {
			return true
		}
		select {
		case p = <-l.out:
			waitUntil(p.at)
		default:
			return true
		}
	}
}

// sendReply sends the reply to s, subject to the fault that Faults selects.
func (e *Engine) sendReply(l *link, s *frame.Step, r *frame.Reply) {
	fault := FaultNone
	if e.Faults != nil {
		fault = e.Faults(s)
	}
	switch fault {
	case FaultDrop:
		return
	case FaultCut:
		_ = l.ws.Close()
		return
	case FaultDelay:
		time.AfterFunc(e.ReplyDelay, func() { e.queueReply(l, r) })
		return
	case FaultDouble:
		e.queueReply(l, r)
	}
	e.queueReply(l, r)
}

func (e *Engine) queueReply(l *link, r *frame.Reply) {
	select {
	case l.out <- timedFrame{at: e.arrivalTime(replyBytes(r)), reply: r}:
	case <-l.done:
	}
}

func stepBytes(s *frame.Step) int { return len(s.Text) + 4*len(s.Tokens) + hiddenBytes(s.Hidden) }

func replyBytes(r *frame.Reply) int { return len(r.Text) + hiddenBytes(r.Hidden) }

func hiddenBytes(values [][]byte) int {
	n := 0
	for _, v := range values {
		n += len(v)
	}
	return n
}

// containsWord reports whether text contains the first token of word.
func containsWord(text, word string) bool {
	want := layer.Split(word)[0]
	for _, token := range layer.Split(text) {
		if token == want {
			return true
		}
	}
	return false
}
