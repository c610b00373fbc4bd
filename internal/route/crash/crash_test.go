package crash_test

import (
	"testing"
	"time"

	"fulmarwick/internal/route/crash"
)

// A request comes four times, each time its engine dies. The fourth is not
// sent. A request that shared two of the engines and then ended is free.
func TestThirdCrashMakesCulprit(t *testing.T) {
	b := &crash.Tracker{}
	poison, other := crash.Fingerprint("team", "/a/1", []byte("x")), crash.Fingerprint("team", "/a/1", []byte("y"))
	for n := range 3 {
		if b.IsCulprit(time.Duration(n)*time.Second, poison) {
			t.Errorf("got guilty after %d deaths, want 3", n)
		}
		for range 5 {
			// Callers that send the same at once meet the same death.
			b.Record(time.Duration(n)*time.Second, crashEvent(poison, n))
		}
		b.Record(time.Duration(n)*time.Second, crashEvent(other, n))
		if n == 1 {
			b.Clear(other)
		}
	}
	if !b.IsCulprit(3*time.Second, poison) || b.IsCulprit(3*time.Second, other) {
		t.Error("got the innocent or not the guilty one, want only the guilty one")
	}
	if b.IsCulprit(2*time.Minute, poison) {
		t.Error("got guilty two minutes later, want it forgotten")
	}
}

// Three engines die together under a request that many callers send. One death
// counts: none of the runs began after another one had ended.
func TestSimultaneousCrashesCountOnce(t *testing.T) {
	b := &crash.Tracker{}
	for n := range 3 {
		d := crashEvent(1, n)
		d.RanMs = 2000
		b.Record(time.Duration(n)*100*time.Millisecond, d)
	}
	if b.IsCulprit(time.Second, 1) {
		t.Error("got guilty after deaths that came together, want free")
	}
}

func crashEvent(print uint64, n int) crash.Event {
	return crash.Event{Fingerprint: print, Upstream: "e", Incarnation: int64(n)}
}

func TestFingerprintSeparatesParts(t *testing.T) {
	if crash.Fingerprint("a", "b", nil) == crash.Fingerprint("ab", "", nil) || crash.Fingerprint("", "a", []byte("b")) == crash.Fingerprint("", "ab", nil) {
		t.Error("got one print for different requests, want two")
	}
}

func TestTrackerIsBounded(t *testing.T) {
	b := &crash.Tracker{}
	for n := range uint64(10000) {
		for k := range 3 {
			b.Record(time.Duration(n)*10+time.Duration(k), crashEvent(n, k))
		}
	}
	if b.IsCulprit(100000, 1) || !b.IsCulprit(100000, 9999) {
		t.Error("got the oldest or not the newest, want the newest kept")
	}
}
