package crash_test

import (
	"fmt"
	"testing"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/crash"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"
)

// settle is more than the time after which the evidence against parts is weighed.
const settle = time.Second

// The parts of prompts in these tests.
const (
	shared uint64 = iota + 100
	session
	bad
	otherBad
)

func part(fingerprint uint64) crash.Key {
	return crash.Key{Fingerprint: fingerprint, IsPart: true}
}

// book is a tracker with the number of requests and upstreams so far.
type book struct {
	crash.Tracker
	requests, upstreams uint64
}

// prompt returns the suspects of a new request with these parts.
func (b *book) prompt(parts ...uint64) []crash.Key {
	b.requests++
	keys := request(b.requests)
	for _, p := range parts {
		keys = append(keys, part(p))
	}
	return keys
}

// crash ends an upstream under requests that had run for 50 ms.
func (b *book) crash(now time.Duration, requests ...[]crash.Key) {
	b.upstreams++
	for _, keys := range requests {
		e := crash.NewCrash(keys)
		e.Upstream, e.Incarnation, e.RanMs = spec.UpstreamID(fmt.Sprint("e", b.upstreams)), 1, 50
		b.Record(now, e)
	}
}

// standing weighs the evidence against a part and returns its standing.
func (b *book) standing(now time.Duration, p uint64) crash.Standing {
	b.Settle(now)
	return b.Standing(now, part(p))
}

// Guards against a part that crashes upstreams going unnoticed since no two of its requests are
// alike, and against the parts that it shares its requests with being restricted beside it.
func TestPartIsQuarantinedNotThoseBesideIt(t *testing.T) {
	b := &book{}
	b.Survive(0, b.prompt(session), 0)
	for n := range time.Duration(3) {
		b.crash(n*200*time.Millisecond, b.prompt(shared, bad), b.prompt(shared, session), b.prompt(shared))
	}
	if got := b.standing(500*time.Millisecond, bad); got != crash.StandingFree {
		t.Errorf("got %s at once, want free until the evidence is weighed", got)
	}
	if got := b.standing(settle, bad); got != crash.StandingQuarantined {
		t.Errorf("got %s after three crashes, want quarantined", got)
	}
	if err := b.Check(settle, b.prompt(shared, session)); err != nil {
		t.Errorf("got %v for a request without the part, want it sent", err)
	}
	if err := b.Check(settle, b.prompt(shared, bad)); !errors.Is(err, crash.ErrQuarantined) {
		t.Errorf("got %v for a request with the part, want a quarantine", err)
	}
}

// Guards against a part that all requests of a route have being restricted since its requests ran
// beside each crash, and one that delivers meanwhile.
func TestDeliveredPartsAreFree(t *testing.T) {
	b := &book{}
	for n := range time.Duration(5) {
		at := n * 200 * time.Millisecond
		b.crash(at, b.prompt(shared, session))
		b.Survive(at+150*time.Millisecond, b.prompt(shared, session), at+10*time.Millisecond)
	}
	if got := b.standing(3*time.Second, shared); got != crash.StandingFree {
		t.Errorf("got %s for a part that delivers after each crash, want free", got)
	}
}

// Guards against a run that began to deliver before a part crashed upstreams clearing it.
func TestEarlierDeliveryClearsNothing(t *testing.T) {
	b := &book{}
	b.Survive(time.Second, b.prompt(bad), 900*time.Millisecond)
	for n := range time.Duration(3) {
		b.crash(time.Second+n*200*time.Millisecond, b.prompt(bad))
	}
	b.Survive(2*time.Second, b.prompt(bad), 950*time.Millisecond)
	if got := b.standing(3*time.Second, bad); got != crash.StandingQuarantined {
		t.Errorf("got %s, want quarantined", got)
	}
}

// Guards against a culprit that is taken for sound as its trial crashed the upstream, and against
// the requests and parts beside it being held responsible for what it did.
func TestFailedTrialMakesPartCulprit(t *testing.T) {
	b := &book{}
	b.Survive(0, b.prompt(shared, session), 0)
	beside := b.prompt(shared, session)
	for n := range time.Duration(3) {
		b.crash(n*200*time.Millisecond, b.prompt(shared, bad), beside)
	}
	if b.standing(settle, bad) != crash.StandingQuarantined || b.Check(settle, beside) == nil {
		t.Error("got the part or the request beside it free, want both restricted")
	}
	b.crash(3*time.Second, b.prompt(shared, bad))
	if got := b.standing(3*time.Second+settle, bad); got != crash.StandingCulprit {
		t.Errorf("got %s after a trial crashed its upstream, want culprit", got)
	}
	if err := b.Check(4*time.Second, beside); err != nil {
		t.Errorf("got %v for a request that ran beside the culprit, want it free", err)
	}
	b.crash(4*time.Second, b.prompt(shared, bad), b.prompt(shared, session))
	if got := b.EndedCount(5*time.Second, part(shared)); got != 0 {
		t.Errorf("got %d crashes against a part beside the culprit, want none", got)
	}
}

// Guards against a part being convicted for the crash of a trial whose request had another
// suspected part.
func TestJointTrialConvictsNone(t *testing.T) {
	b := &book{}
	for n := range time.Duration(3) {
		b.crash(n*200*time.Millisecond, b.prompt(bad))
		b.crash(n*200*time.Millisecond, b.prompt(otherBad))
	}
	if b.standing(settle, bad) != crash.StandingQuarantined || b.standing(settle, otherBad) != crash.StandingQuarantined {
		t.Error("got a part that crashed three upstreams free, want both quarantined")
	}
	b.crash(3*time.Second, b.prompt(bad, otherBad))
	if got := b.standing(3*time.Second+settle, bad); got != crash.StandingQuarantined {
		t.Errorf("got %s after a trial with two suspects, want quarantined", got)
	}
	b.crash(6*time.Second, b.prompt(bad))
	if b.standing(6*time.Second+settle, bad) != crash.StandingCulprit || b.standing(6*time.Second+settle, otherBad) != crash.StandingQuarantined {
		t.Error("got the part with a trial of its own free or the other one convicted with it, want only the first a culprit")
	}
}

// Guards against a second part that crashes upstreams being taken for sound as long as its requests
// meet those of the first on the same upstreams.
func TestSecondPartIsFoundAfterTheFirst(t *testing.T) {
	b := &book{}
	for n := range time.Duration(4) {
		b.crash(n*200*time.Millisecond, b.prompt(bad), b.prompt(otherBad))
	}
	b.crash(800*time.Millisecond, b.prompt(bad))
	if b.standing(2*time.Second, bad) != crash.StandingQuarantined || b.standing(2*time.Second, otherBad) != crash.StandingFree {
		t.Error("got the part that explains all crashes free or the other one restricted, want only the first quarantined")
	}
	b.crash(3*time.Second, b.prompt(otherBad))
	if got := b.standing(3*time.Second+settle, otherBad); got != crash.StandingQuarantined {
		t.Errorf("got %s after a crash that the first part does not explain, want quarantined", got)
	}
}

// Guards against a request with several suspects taking the trial that would clear one of them.
func TestSingleSuspectsAreTriedFirst(t *testing.T) {
	b := &book{}
	for n := range time.Duration(3) {
		b.crash(n*200*time.Millisecond, b.prompt(bad))
		b.crash(n*200*time.Millisecond, b.prompt(session))
	}
	b.Settle(settle)
	both := b.prompt(bad, session)
	if got := len(b.NeedTrials(settle, both)); got != 2 {
		t.Errorf("got %d suspects to try together, want 2", got)
	}
	if got := len(b.NeedTrials(settle, b.prompt(session))); got != 1 {
		t.Errorf("got %d suspects to try alone beside that, want 1", got)
	}
	if got := len(b.NeedTrials(settle+crash.TrialInterval, both)); got != 0 {
		t.Errorf("got %d suspects to try together again so soon, want none", got)
	}
}

// Guards against a flood of requests on crashed upstreams, with parts of their own, displacing a
// part that crashes upstreams, and against its size.
func TestFloodOfPartsKeepsTheCulprit(t *testing.T) {
	b := &book{}
	for n := range time.Duration(3) {
		b.crash(n*200*time.Millisecond, b.prompt(bad))
	}
	b.Settle(settle)
	for n := range uint64(20000) {
		b.crash(2*time.Second, b.prompt(1000+n))
	}
	if got := b.Standing(3*time.Second, part(bad)); got != crash.StandingQuarantined {
		t.Errorf("got %s after the flood, want quarantined", got)
	}
	if got := len(b.Known(3 * time.Second)); got > 10 {
		t.Errorf("got %d events for an instance that starts, want only the quarantine and what is near one", got)
	}
}

// Guards against instances that differ on which part explains the crashes: one that has seen runs
// deliver a part tells the others, and one that starts learns of it.
func TestDeliveriesAreToldOfSuspectedParts(t *testing.T) {
	b, other := &book{}, &book{}
	b.Survive(0, b.prompt(shared), 0)
	for n := range time.Duration(3) {
		for _, tracker := range []*book{b, other} {
			tracker.crash(time.Second+n*200*time.Millisecond, tracker.prompt(shared, bad))
		}
	}
	var told int
	for _, c := range b.TakeChanges() {
		if c.Own && c.Kind == crash.EventDelivery {
			told++
			other.Record(1500*time.Millisecond, c.Event(1500*time.Millisecond))
		}
	}
	if told != 1 {
		t.Errorf("got %d deliveries told, want one of the shared part", told)
	}
	if other.standing(3*time.Second, shared) != crash.StandingFree || other.standing(3*time.Second, bad) != crash.StandingQuarantined {
		t.Error("got the part that others deliver restricted or the other one free, want only the other one quarantined")
	}
	var knows bool
	for _, e := range b.Known(3 * time.Second) {
		knows = knows || e.Kind == crash.EventDelivery && e.Fingerprint == shared
	}
	if !knows {
		t.Error("got an instance that starts not told of the delivered part, want it told")
	}
}

// Guards against the part that all requests of a route share being quarantined as it explains the
// crashes of several others, with all that the route serves.
func TestCommonPartIsNotQuarantined(t *testing.T) {
	b := &book{}
	for n := range uint64(60) {
		b.CountRequest("route", b.prompt(shared, 1000+n))
	}
	for n := range time.Duration(2) {
		b.crash(n*200*time.Millisecond, b.prompt(shared, bad))
		b.crash(n*200*time.Millisecond, b.prompt(shared, otherBad))
	}
	if got := b.standing(settle, shared); got != crash.StandingFree {
		t.Errorf("got %s for a part that all requests of the route have, want free", got)
	}
	b.crash(time.Second, b.prompt(shared, bad))
	if b.standing(2*time.Second, bad) != crash.StandingQuarantined || b.Standing(2*time.Second, part(shared)) != crash.StandingFree {
		t.Error("got the part with three crashes free or the one that all share restricted, want only the first quarantined")
	}
}

func TestParseKey(t *testing.T) {
	for text, want := range map[string]crash.Key{"5c1e07a2": {Fingerprint: 0x5c1e07a2}, "part-5c1e07a2": part(0x5c1e07a2)} {
		if got, err := crash.ParseKey(text); err != nil || got != want || got.String() != text {
			t.Errorf("%s: got %v and %v, want %v", text, got, err, want)
		}
	}
	for _, text := range []string{"", "part-", "part-x", "part", "12345678901234567"} {
		if got, err := crash.ParseKey(text); !errors.Is(err, crash.ErrMalformedKey) {
			t.Errorf("%q: got %v and %v, want ErrMalformedKey", text, got, err)
		}
	}
}

// Guards against messages between instances that grow with what callers send: the crash of a full
// engine, and what an instance is told that starts.
func TestReportsAreBounded(t *testing.T) {
	b := &book{}
	var events []crash.Event
	for n := range uint64(192) {
		e := crash.NewCrash(b.prompt(shared, 1000+n%24, 2000+n))
		e.Upstream, e.Incarnation, e.RanMs, e.AgeMs = "i-0123456789", 1791563508834, 230, 12
		events = append(events, e)
	}
	data, err := cbor.Marshal(events)
	if err != nil {
		t.Fatal(err)
	}
	// All requests of an engine are reported once by each instance that sent some of them.
	if got, most := len(data), 192*100; got > most {
		t.Errorf("got %d bytes for a crash under 192 requests, want %d at most", got, most)
	}
	for n := range uint64(2000) {
		for range 3 {
			b.crash(time.Second, b.prompt(10000+n))
		}
	}
	b.Settle(2 * time.Second)
	if got := len(b.Known(2 * time.Second)); got == 0 || got > 512 {
		t.Errorf("got %d events for an instance that starts, want some and 512 at most", got)
	}
}
