package domain_test

import (
	"testing"

	"fulmarwick/internal/route/domain"
)

// A peer announces its load before the engine's first report, as happens
// after a join. The engine must start with that load and lose it when the
// peer is removed.
func TestPeerLoadReceivedBeforeEngineReport(t *testing.T) {
	state := &domain.RoutingState{}
	state.Apply(domain.PeerLoad{Peer: "p", Engine: "e", Active: 2, LayerTokenRate: 700})
	state.Apply(domain.EngineReport{Engine: domain.Engine{ID: "e", Slots: 4, LayerTime: 1e6, KVCapacity: 1000, Seq: 1}})
	e := state.Engines().Get("e")
	if got, want := e.Demand(), int64(700); got != want {
		t.Errorf("demand of the peer: got %d, want %d", got, want)
	}
	if e.HasKVMemory(400) {
		t.Error("two requests of a peer and one more of 400 in 1000: got free KV memory, want none")
	}
	state.Apply(domain.PeerRemoved{Peer: "p"})
	if got := e.Demand(); got != 0 {
		t.Errorf("after the peer was removed: got %d, want 0", got)
	}
	if !e.HasKVMemory(400) {
		t.Error("after the peer was removed: got no free KV memory, want some")
	}
}
