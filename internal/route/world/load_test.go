package world_test

import (
	"testing"

	"fulmarwick/internal/route/world"
)

// A peer's load is heard before the engine's first report, as after a join.
// The engine starts with that load, and loses it when the peer goes.
func TestPeerLoadHeardBeforeTheEngine(t *testing.T) {
	w := &world.World{}
	w.Apply(world.PeerLoad{Peer: "p", Engine: "e", Active: 2, Tokens: 700})
	w.Apply(world.EngineSeen{Engine: world.Engine{ID: "e", Slots: 4, Layer: 1e6, Cache: 1000, Seq: 1}})
	e := w.Engines().Get("e")
	if got, want := e.Draw(), int64(700); got != want {
		t.Errorf("draw of the peer: got %d, want %d", got, want)
	}
	if e.Room(400) {
		t.Error("two requests of a peer and one more of 400 in 1000: got room, want none")
	}
	w.Apply(world.PeerGone{Peer: "p"})
	if got := e.Draw(); got != 0 {
		t.Errorf("after the peer went: got %d, want 0", got)
	}
	if !e.Room(400) {
		t.Error("after the peer went: got no room, want room")
	}
}
