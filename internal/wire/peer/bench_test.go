package peer_test

import (
	"context"
	"net/http/httptest"
	"testing"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/fleet/node"
	"fulmarwick/internal/wire/peer"
)

// BenchmarkMessage measures one message of 450 bytes, a typical size, sent from
// the logic of one instance to that of another over TLS on loopback. The cost
// of both ends is included.
func BenchmarkMessage(b *testing.B) {
	ca := newAuthority(b)
	var logics []*scriptedLogic
	var hubs []*peer.Hub
	ctx, cancel := context.WithCancel(b.Context())
	defer cancel()
	url := ""
	for _, name := range []spec.InstanceID{"a", "b"} {
		logic := &scriptedLogic{arrived: make(chan struct{}, 1)}
		h := &peer.Hub{Self: node.Peer{ID: name}, Logic: logic, TLS: ca.config(string(name))}
		server := httptest.NewUnstartedServer(h.Handler())
		server.TLS = ca.config(string(name))
		server.StartTLS()
		defer server.Close()
		url = server.URL
		go func() { _ = h.Run(ctx) }()
		logics, hubs = append(logics, logic), append(hubs, h)
	}
	data := make([]byte, 450)
	for b.Loop() {
		logics[0].mu.Lock()
		logics[0].pending = append(logics[0].pending, node.Send{To: "b", URL: url, Data: data})
		logics[0].mu.Unlock()
		hubs[0].Post(node.DiscoveryList{})
		<-logics[1].arrived
	}
}
