package domain_test

import (
	"testing"

	"fulmarwick/internal/route/domain"
)

// A peer's load is heard before the engine's first report, as after a join.
// The engine starts with that load, and loses it when the peer goes.
func TestPeerLoadReceivedBeforeEngineReport(t *testing.T) {
	w := &domain.RoutingState{}
	w.Apply(domain.PeerLoad{Peer: "p", Engine: "e", Active: 2, LayerTokenRate: 700})
	w.Apply(domain.EngineReport{Engine: domain.Engine{ID: "e", Slots: 4, LayerTime: 1e6, KVCapacity: 1000, Seq: 1}})
	e := w.Engines().Get("e")
	if got, want := e.Demand(), int64(700); got != want {
		t.Errorf("draw of the peer: got %d, want %d", got, want)
	}
	if e.HasKVMemory(400) {
		t.Error("two requests of a peer and one more of 400 in 1000: got room, want none")
	}
	w.Apply(domain.PeerRemoved{Peer: "p"})
	if got := e.Demand(); got != 0 {
		t.Errorf("after the peer went: got %d, want 0", got)
	}
	if !e.HasKVMemory(400) {
		t.Error("after the peer went: got no room, want room")
	}
}
