package peer_test

import (
	"context"
	"net/http/httptest"
	"testing"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/fleet/node"
	"fulmarwick/internal/wire/peer"
)

// BenchmarkMessage measures one message of 450 bytes, a usual size, from one
// instance's logic to another's over TLS on loopback, both ends included.
func BenchmarkMessage(b *testing.B) {
	ca := newAuthority(b)
	var ends []*scriptedLogic
	var hubs []*peer.Hub
	ctx, cancel := context.WithCancel(b.Context())
	defer cancel()
	url := ""
	for _, name := range []spec.InstanceID{"a", "b"} {
		k := &scriptedLogic{arrived: make(chan struct{}, 1)}
		h := &peer.Hub{Self: node.Peer{ID: name}, Logic: k, TLS: ca.config(string(name))}
		server := httptest.NewUnstartedServer(h.Handler())
		server.TLS = ca.config(string(name))
		server.StartTLS()
		defer server.Close()
		url = server.URL
		go func() { _ = h.Run(ctx) }()
		ends, hubs = append(ends, k), append(hubs, h)
	}
	data := make([]byte, 450)
	for b.Loop() {
		ends[0].mu.Lock()
		ends[0].pending = append(ends[0].pending, node.Send{To: "b", URL: url, Data: data})
		ends[0].mu.Unlock()
		hubs[0].Post(node.DiscoveryList{})
		<-ends[1].arrived
	}
}
