package watch_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"fulmarwick/internal/base/frame"
	"fulmarwick/internal/fakes/stage"
	"fulmarwick/internal/wire/engine"
)

// countingConn counts the bytes of a connection in both directions.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// BenchmarkPoll measures the bytes of one report and of one empty page of cache
// events, without TCP and IP headers.
func BenchmarkPoll(b *testing.B) {
	layers := frame.LoadedLayers{Model: "levy-13b", Version: "1", Depth: 40, From: 0, To: 20, Width: 8192}
	e := &stage.Engine{Name: "fast-1", DataCentre: "klang", Kind: "h200", Holds: []frame.LoadedLayers{layers}, Slots: 16, Memory: 40, Cache: 1 << 20}
	server := httptest.NewServer(e.Handler())
	defer server.Close()
	var bytes atomic.Int64
	client := &http.Client{Transport: &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := new(net.Dialer).DialContext(ctx, network, address)
			return countingConn{Conn: c, bytes: &bytes}, err
		},
	}}
	defer client.CloseIdleConnections()
	control := &engine.Control{HTTP: client, Base: server.URL}
	for _, k := range []struct {
		name    string
		request func() error
	}{
		{"report", func() error { _, err := control.Report(b.Context()); return err }},
		{"events", func() error { _, err := control.Events(b.Context(), 0); return err }},
	} {
		b.Run(k.name, func(b *testing.B) {
			bytes.Store(0)
			for range b.N {
				if err := k.request(); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(bytes.Load())/float64(b.N), "bytes/op")
		})
	}
}
