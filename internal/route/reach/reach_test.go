package reach_test

import (
	"fmt"
	"testing"
	"time"

	"fulmarwick/internal/route/reach"
)

func upstreams(n int) (out []string) {
	for k := range n {
		out = append(out, fmt.Sprintf("u%d", k))
	}
	return out
}

// Guards against an instance that takes a few dead upstreams for lost links.
func TestFewFailuresAreNoCut(t *testing.T) {
	tracker := &reach.Tracker{}
	tracker.SetListed(36)
	for n := range 20 {
		tracker.RecordFailure(time.Duration(n)*100*time.Millisecond, upstreams(3)[n%3])
	}
	if tracker.IsCut() {
		t.Error("got the links lost after three upstreams failed, want them up")
	}
	for n, id := range upstreams(30) {
		tracker.RecordFailure(time.Duration(n)*100*time.Millisecond, id)
		tracker.RecordSuccess()
	}
	if tracker.IsCut() {
		t.Error("got the links lost while upstreams accept connections, want them up")
	}
	for n, id := range upstreams(30) {
		tracker.RecordFailure(time.Duration(n)*time.Second, id)
	}
	if tracker.IsCut() {
		t.Error("got the links lost by failures seconds apart, want them up")
	}
}

func TestCutIsFoundByCheck(t *testing.T) {
	tracker := &reach.Tracker{}
	all := upstreams(36)
	tracker.SetListed(len(all))
	if tracker.NeedsCheck(time.Second) {
		t.Error("got a check before an upstream failed, want none")
	}
	tracker.RecordFailure(time.Second, all[0])
	if !tracker.NeedsCheck(time.Second) || tracker.NeedsCheck(time.Second) {
		t.Error("got no check or two after an upstream failed, want one")
	}
	tracker.RecordFailure(time.Second, all[1])
	sample := tracker.Sample(all)
	for _, id := range sample {
		if id == all[0] || id == all[1] {
			t.Errorf("got %s in the sample, want only upstreams that have not failed", id)
		}
		tracker.RecordFailure(time.Second, id)
	}
	if !tracker.IsCut() {
		t.Errorf("got the links up after all of %d more failed, want them lost", len(sample))
	}
}

// Links that come back for a moment must not count as restored.
func TestRestoredLinksNeedTwoGoodChecks(t *testing.T) {
	tracker := &reach.Tracker{}
	tracker.SetListed(3)
	for _, id := range upstreams(3) {
		tracker.RecordFailure(time.Second, id)
	}
	for _, check := range []struct {
		accepted int
		cut      bool
	}{{3, true}, {0, true}, {3, true}, {2, false}} {
		if tracker.RecordCheck(check.accepted, 3); tracker.IsCut() != check.cut {
			t.Errorf("got cut %t after a check with %d of 3, want %t", tracker.IsCut(), check.accepted, check.cut)
		}
	}
}

// Guards against requests that are passed on although no link has failed, and against ones that
// are not while an upstream that others reach refuses connections.
func TestLinksAreSoundWithoutFailure(t *testing.T) {
	tracker := &reach.Tracker{}
	tracker.SetListed(36)
	if !tracker.IsSound(time.Second) {
		t.Error("got links in doubt before any failed, want them sound")
	}
	tracker.RecordFailure(time.Second, "u0")
	tracker.RecordSuccess()
	if tracker.IsSound(3 * time.Second) {
		t.Error("got sound links two seconds after a failure, want them in doubt")
	}
	if !tracker.IsSound(7 * time.Second) {
		t.Error("got links in doubt six seconds after the last failure, want them sound")
	}
}
