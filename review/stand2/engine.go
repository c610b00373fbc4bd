package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// heartbeat is how often an engine writes its row.
const heartbeat = 1200 * time.Millisecond

// engine is an engine of the plain service or of the model.
type engine struct {
	id, zone string
	isModel  bool
	work     time.Duration
	// events is the number of events of a stream, first the time to the first one and pause that between two.
	events       int
	first, pause time.Duration
	// behave answers a request in another way than a sound engine and reports whether it did; it may be nil.
	behave func(e *engine, c *engineConn, r *http.Request, body []byte) (done, keep bool)

	// watched is a path, and running how many requests with it the engine runs now.
	watched string
	running atomic.Int64

	bench    *bench
	listener net.Listener
	address  string

	mu       sync.Mutex
	born     int64
	sequence int
	orders   int
	from, to int
	state    string
	active   int
	conns    map[net.Conn]struct{}
	stopped  bool
	stop     chan struct{}
	slots    chan struct{}
}

// engineConn is a connection to an engine.
type engineConn struct {
	net.Conn
	reader *bufio.Reader
	// served is how many requests came on the connection.
	served int
}

// addEngine starts an engine and registers it.
func (b *bench) addEngine(e *engine) error {
	e.bench, e.state, e.conns, e.slots = b, "ready", map[net.Conn]struct{}{}, make(chan struct{}, plainSlots)
	b.mu.Lock()
	b.engines = append(b.engines, e)
	b.mu.Unlock()
	return e.start()
}

// start listens and registers, at the address of before if there was one.
func (e *engine) start() error {
	var err error
	if e.address == "" {
		e.listener, err = listen("127.76.100.1")
	} else {
		e.listener, err = (&net.ListenConfig{}).Listen(context.Background(), "tcp", e.address)
	}
	if err != nil {
		return err
	}
	e.mu.Lock()
	e.address, e.born, e.stopped, e.stop = e.listener.Addr().String(), time.Now().UnixMilli(), false, make(chan struct{})
	e.sequence, e.orders, e.from, e.to = 0, 0, 0, 0
	stop := e.stop
	e.mu.Unlock()
	e.writeRow()
	go e.accept(e.listener)
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(heartbeat):
				e.writeRow()
			}
		}
	}()
	return nil
}

// crash ends the engine: it resets all connections and refuses new ones. Its row expires after three
// heartbeats.
func (e *engine) crash() {
	e.mu.Lock()
	e.stopped = true
	close(e.stop)
	conns := e.conns
	e.conns = map[net.Conn]struct{}{}
	born := e.born
	e.mu.Unlock()
	_ = e.listener.Close()
	for c := range conns {
		reset(c)
	}
	time.AfterFunc(3*heartbeat, func() {
		e.mu.Lock()
		gone := e.stopped && e.born == born
		e.mu.Unlock()
		if gone {
			e.bench.store.remove("servers", e.id)
		}
	})
}

// reset resets a connection.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// writeRow writes the row of the engine.
func (e *engine) writeRow() {
	e.mu.Lock()
	e.sequence++
	row := map[string]any{
		"address": e.address, "zone": e.zone, "version": "v1", "state": e.state, "cold-remaining-ms": 0, "sequence": e.sequence, "born": e.born,
		"service": plainName, "slots": 6,
	}
	if e.isModel {
		row["service"], row["slots"], row["kind"], row["stage"] = modelName, 192, "a100", "both"
		row["models"] = []any{map[string]any{"name": "daka510000", "version": 1, "adapters": []any{}}}
		if e.to > 0 {
			row["layers"] = map[string]any{"from": e.from, "to": e.to, "version": 1}
		}
	}
	e.mu.Unlock()
	e.bench.store.put("servers", e.id, row)
}

func (e *engine) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		e.conns[c] = struct{}{}
		e.mu.Unlock()
		go e.serve(&engineConn{Conn: c, reader: bufio.NewReader(c)})
	}
}

// serve serves the requests of a connection, one after the other.
func (e *engine) serve(c *engineConn) {
	defer func() {
		e.mu.Lock()
		delete(e.conns, c.Conn)
		e.mu.Unlock()
		_ = c.Close()
	}()
	for {
		_ = c.SetReadDeadline(time.Now().Add(time.Minute))
		r, err := http.ReadRequest(c.reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		c.served++
		if !e.handle(c, r, body) {
			return
		}
	}
}

// handle answers a request and reports whether the connection stays open.
func (e *engine) handle(c *engineConn, r *http.Request, body []byte) bool {
	switch {
	case e.isModel && r.URL.Path == "/report":
		return e.report(c)
	case e.isModel && r.URL.Path == "/order":
		return e.order(c, r, body)
	case r.URL.Path == "/health":
		return c.respond(http.StatusOK, map[string]string{"Instance-Id": e.id, "Server-Load": "0,0,6"}, nil)
	}
	id := r.Header.Get("Request-Id")
	head := map[string]string{"Request-Id": id}
	if want := r.Header.Get("Expect-Instance"); want != "" && want != e.id {
		head["Instance-Id"] = e.id
		return c.respond(http.StatusMisdirectedRequest, head, nil)
	}
	if id == "" {
		return c.respond(http.StatusBadRequest, map[string]string{"Not-Executed": "1"}, nil)
	}
	if e.behave != nil {
		if done, keep := e.behave(e, c, r, body); done {
			return keep
		}
	}
	if e.isModel {
		return e.stream(c, r)
	}
	return e.answer(c, r)
}

// plainSlots is how many requests an engine of the plain service runs at once. The others wait.
const plainSlots = 6

// answer runs a request to the plain service once there is a slot and answers it.
func (e *engine) answer(c *engineConn, r *http.Request) bool {
	id := r.Header.Get("Request-Id")
	e.slots <- struct{}{}
	defer func() { <-e.slots }()
	e.bench.rec.run(id, e.id)
	if r.URL.Path == e.watched {
		e.running.Add(1)
		defer e.running.Add(-1)
	}
	if !e.pauseFor(c, e.work) {
		return false
	}
	return c.respond(http.StatusOK, e.sealed(id), answerOf(id))
}

// sealed returns the headers of an answer of the engine.
func (e *engine) sealed(id string) map[string]string {
	return map[string]string{"Request-Id": id, "Server-Seal": e.id + "." + id, "Server-Load": "1,0,6", "Content-Type": "application/json"}
}

// answerOf returns the body of the answer to a request.
func answerOf(id string) []byte { return bytes.Repeat([]byte("answer to "+id+"\n"), 20) }

// pauseFor works for a time. It returns false if the connection closes meanwhile.
func (e *engine) pauseFor(c *engineConn, d time.Duration) bool {
	// The client sends nothing before it has the answer.
	_ = c.SetReadDeadline(time.Now().Add(d))
	_, err := c.reader.Peek(1)
	var timeout net.Error
	return err == nil || errors.As(err, &timeout) && timeout.Timeout()
}

// respond writes an answer with a length.
func (c *engineConn) respond(status int, head map[string]string, body []byte) bool {
	_, err := c.Write(response(status, head, body))
	return err == nil
}

func response(status int, head map[string]string, body []byte) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	for k, v := range head {
		fmt.Fprintf(&b, "%s: %s\r\n", k, v)
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n", len(body))
	b.Write(body)
	return b.Bytes()
}

func (e *engine) report(c *engineConn) bool {
	e.mu.Lock()
	b := map[string]any{
		"stage": "both", "busy": false, "sequence": e.orders, "queued": 0, "active": e.active, "kv-used": 0, "kv-total": 500000, "handles": 0, "pace": 1.0, "born": e.born, "kind": "a100",
		"models": []any{map[string]any{"name": "daka510000", "version": 1, "adapters": []any{}}},
	}
	if e.to > 0 {
		b["layers"] = map[string]any{"from": e.from, "to": e.to, "version": 1}
	}
	e.mu.Unlock()
	data, err := json.Marshal(b)
	if err != nil {
		panic(err)
	}
	return c.respond(http.StatusOK, map[string]string{"Content-Type": "application/json"}, data)
}

func (e *engine) order(c *engineConn, r *http.Request, body []byte) bool {
	var o struct {
		Operation string `json:"operation"`
		From      int    `json:"from"`
		To        int    `json:"to"`
		Expect    *int   `json:"expected-revision"`
	}
	if want := r.Header.Get("Expect-Instance"); want != "" && want != e.id {
		return c.respond(http.StatusMisdirectedRequest, nil, nil)
	}
	if json.Unmarshal(body, &o) != nil {
		return c.respond(http.StatusBadRequest, nil, nil)
	}
	if o.Operation != "place" {
		return c.respond(http.StatusNotFound, nil, nil)
	}
	e.mu.Lock()
	if o.Expect != nil && *o.Expect != e.orders {
		e.mu.Unlock()
		return c.respond(http.StatusConflict, nil, nil)
	}
	e.orders++
	e.from, e.to = o.From, o.To
	e.mu.Unlock()
	e.bench.rec.note("%s ordered to hold %d-%d", e.id, o.From, o.To)
	e.writeRow()
	return c.respond(http.StatusAccepted, nil, nil)
}

// eventOf returns one event of the answer to a request.
func eventOf(id string, n int) string {
	return fmt.Sprintf("id: %d\ndata: part %d of %s\n\n", n, n, id)
}

// stream answers with a stream of events, after Last-Event-Id if that is set.
func (e *engine) stream(c *engineConn, r *http.Request) bool {
	id := r.Header.Get("Request-Id")
	for _, hop := range strings.Split(r.Header.Get("Hop-Count"), ",") {
		if ok := e.bench.holds(hop); !ok {
			return c.respond(http.StatusMisdirectedRequest, map[string]string{"Request-Id": id}, nil)
		}
	}
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	e.bench.rec.run(id, e.id)
	var b bytes.Buffer
	b.WriteString("HTTP/1.1 200 OK\r\n")
	head := e.sealed(id)
	head["Content-Type"] = "text/event-stream"
	for k, v := range head {
		fmt.Fprintf(&b, "%s: %s\r\n", k, v)
	}
	b.WriteString("Transfer-Encoding: chunked\r\n\r\n")
	for n := last + 1; n <= e.events; n++ {
		pause := e.pause
		if n == last+1 {
			pause = max(e.pause, e.first)
		}
		if !e.pauseFor(c, pause) {
			return false
		}
		event := eventOf(id, n)
		fmt.Fprintf(&b, "%x\r\n%s\r\n", len(event), event)
		if _, err := c.Write(b.Bytes()); err != nil {
			return false
		}
		b.Reset()
	}
	b.WriteString("0\r\n\r\n")
	_, err := c.Write(b.Bytes())
	return err == nil
}

// holds reports whether the engine of a hop ("IP:PORT=FROM-TO") holds its part.
func (b *bench) holds(hop string) bool {
	address, layers, _ := strings.Cut(hop, "=")
	var from, to int
	if _, err := fmt.Sscanf(layers, "%d-%d", &from, &to); err != nil {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, e := range b.engines {
		e.mu.Lock()
		ok := e.address == address && !e.stopped && e.from <= from && to <= e.to
		e.mu.Unlock()
		if ok {
			return true
		}
	}
	return false
}
