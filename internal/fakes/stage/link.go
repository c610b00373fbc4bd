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
	// linkReplies and linkSteps bound what is on its way on a link.
	linkReplies = 1024
	linkSteps   = 1024
)

// link is one connection of a router.
type link struct {
	ws   *websocket.Conn
	out  chan passing
	in   chan passing
	done chan struct{}
}

// passing is a frame that reaches the other end at a time.
type passing struct {
	at    time.Time
	step  *frame.Step
	reply *frame.Reply
}

func (e *Engine) stream(w http.ResponseWriter, req *http.Request) {
	up := websocket.Upgrader{ReadBufferSize: bufferBytes, WriteBufferSize: bufferBytes}
	head := http.Header{frame.HeaderIncarnation: {e.incarnation()}}
	ws, err := up.Upgrade(w, req, head)
	if err != nil {
		return
	}
	ws.SetReadLimit(frame.MaxBytes)
	l := &link{
		ws: ws, done: make(chan struct{}),
		out: make(chan passing, linkReplies), in: make(chan passing, linkSteps),
	}
	e.mu.Lock()
	e.links[l] = true
	e.mu.Unlock()
	go e.write(l)
	go e.accept(l)
	e.read(l)
	close(l.done)
	_ = ws.Close()
	e.orphan(l)
}

// read takes the steps off the connection and lets them travel for a hop.
func (e *Engine) read(l *link) {
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
			e.carry(l, s)
		}
	}
}

// carry lets a step travel; without a delay it is there at once.
func (e *Engine) carry(l *link, s *frame.Step) {
	at := e.arrival(stepBytes(s))
	if at.IsZero() {
		e.submit(s, l)
		return
	}
	select {
	case l.in <- passing{at: at, step: s}:
	case <-l.done:
	}
}

func (e *Engine) accept(l *link) {
	for {
		select {
		case <-l.done:
			return
		case p := <-l.in:
			wait(p.at)
			e.submit(p.step, l)
		}
	}
}

// arrival is when a frame of so many bytes gets to the other end.
func (e *Engine) arrival(bytes int) time.Time {
	if e.Link == 0 && e.Bandwidth == 0 {
		return time.Time{}
	}
	delay := e.Link
	if e.Bandwidth > 0 {
		delay += time.Duration(float64(bytes) / float64(e.Bandwidth) * float64(time.Second))
	}
	return time.Now().Add(delay)
}

func wait(at time.Time) {
	if at.IsZero() {
		return
	}
	if d := time.Until(at); d > 0 {
		time.Sleep(d)
	}
}

// write sends replies; all that wait go out as one message.
func (e *Engine) write(l *link) {
	var buf bytes.Buffer
	for {
		select {
		case <-l.done:
			return
		case p := <-l.out:
			buf.Reset()
			wait(p.at)
			if !gather(&buf, p, l) || l.ws.WriteMessage(websocket.BinaryMessage, buf.Bytes()) != nil {
				_ = l.ws.Close()
				return
			}
		}
	}
}

func gather(buf *bytes.Buffer, p passing, l *link) bool {
	for {
		if frame.AppendReply(buf, p.reply) != nil {
			return false
		}
		if buf.Len() >= bufferBytes || !p.at.IsZero() {
			return true
		}
		select {
		case p = <-l.out:
			wait(p.at)
		default:
			return true
		}
	}
}

// answer sends the reply of s back, unless a fault is due.
func (e *Engine) answer(l *link, s *frame.Step, r *frame.Reply) {
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
		time.AfterFunc(e.Late, func() { e.post(l, r) })
		return
	case FaultDouble:
		e.post(l, r)
	}
	e.post(l, r)
}

func (e *Engine) post(l *link, r *frame.Reply) {
	select {
	case l.out <- passing{at: e.arrival(replyBytes(r)), reply: r}:
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

func containsWord(text, word string) bool {
	want := layer.Split(word)[0]
	for _, t := range layer.Split(text) {
		if t == want {
			return true
		}
	}
	return false
}
