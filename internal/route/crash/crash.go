// Package crash detects requests that crash the upstreams that run them, and parts of prompts
// that crash them whatever else a request holds.
//
// It imports base/spec. Package app/edge reports crashes to it and asks it before a
// request is sent. It does no I/O and reads no clock.
//
// A request that crashes its upstream is sent again, through any instance. All requests
// that ran on a crashed upstream are suspects, and so is each part of their prompts that
// other requests may share, so one crash proves nothing. Two numbers count against a suspect:
//
// The number of upstreams that ended under it bounds the harm that it may do. Once three
// have ended, whatever the cause, it is quarantined: all instances together send it a few
// times at most, on trial, one after the other.
//
// The number of separate causes decides whether it is the culprit. Many callers may send
// the same request at once, and engines may crash together for other reasons, so of crashes
// that come together under runs that overlap one counts. A crash under a trial has no other
// explanation. A culprit is not sent any more.
//
// A completed answer clears a suspect of the crashes before that run. Requests crash
// upstreams as they begin to run, so a crash is weak evidence against one that had delivered
// a part of its answer beside others.
//
// Parts are judged in the same way, with three differences, since requests that do no harm
// share most of them. Any run that delivers clears its parts. The evidence is weighed a moment
// after it came, when such runs have shown which parts are sound, and each crash counts against
// the part that explains the crashes best, but not one that most requests of a route have.
// Only a trial makes a part a culprit, and the crashes that it explains count against nothing
// else from then on.
package crash

import (
	"hash/fnv"
	"io"
	"strconv"
	"strings"
	"time"

	"fulmarwick/internal/base/spec"

	"github.com/go-faster/errors"
)

const (
	// culpritCrashes is the number of crashes with separate causes that make a culprit, and of
	// upstreams that end before a request is quarantined. Streams that share an engine with a
	// culprit are affected by two crashes now and then.
	culpritCrashes = 3
	// maxCrashes is the same if weak ones count as well.
	maxCrashes = 6
	// maxEndedRuns is the maximum number of ended runs in memory for a suspect: those of
	// upstreams that crash before all instances know that it is quarantined.
	maxEndedRuns = 32
	// incidentWindow is how close to each other crashes come that have one cause, such as
	// a rack without power: they are found, and reported by other instances, one after the
	// other.
	incidentWindow = 500 * time.Millisecond
	// minCrashGap is the same for runs that do not overlap. Engines that crash at one moment
	// are found dead within it, some of them by requests that were sent on meanwhile.
	minCrashGap = 100 * time.Millisecond
	// overlapTolerance is how long two runs may seem to overlap of which one began as the
	// other ended: reports are in whole milliseconds.
	overlapTolerance = 5 * time.Millisecond
	// suspectTTL is how long a crash counts against a request.
	suspectTTL = time.Minute
	// RestrictionTTL is how long a request stays quarantined, and a culprit one. Each new
	// verdict costs three upstreams, and what callers send again and again they send for a
	// while.
	RestrictionTTL = 10 * time.Minute
	// TrialInterval is the time between two trials of a quarantined request: a crash under the
	// first one is known by then.
	TrialInterval = 2 * time.Second
	// trialStart is how soon after its grant a trial must begin. The next one is granted TrialInterval after
	// the grant: by then a crash must have been found and weighed.
	trialStart = TrialInterval / 4
	// MaxTrials is how many trials a quarantined request gets. One settles the matter unless
	// its caller leaves or its answer is lost on the way.
	MaxTrials = 3
	// trialTimeout is how long the outcome of the last trial is waited for. Long answers take
	// that long, and one that completes clears the request.
	trialTimeout = 10 * time.Second
	// JointTrialInterval is the time between two trials of suspects that a request has in
	// common. A request with a single one proves more, so that it goes first.
	JointTrialInterval = 2 * TrialInterval
	// SurvivalTime is how long after its first event a run must go on to deliver for its parts
	// to be sound. Upstreams crash as they begin to write.
	SurvivalTime = 300 * time.Millisecond
	// settleTime is how long after a crash the evidence against parts is weighed: sound ones
	// are shown to be so in that time, and all instances have reported what ran.
	settleTime = SurvivalTime + 200*time.Millisecond
	// maxSuspects is the maximum number of suspects in memory.
	maxSuspects = 4096
	// maxKnown is the maximum number of events for an instance that starts. Hundreds may start
	// at once, and each is told by all others.
	maxKnown = 512
)

// Key identifies a suspect: a request, or a part of a prompt that requests share.
type Key struct {
	Fingerprint uint64
	IsPart      bool
}

// partPrefix marks the keys of parts in text form.
const partPrefix = "part-"

// ErrMalformedKey is returned for a text that is no key.
var ErrMalformedKey = errors.New("crash: malformed key")

// String returns the text form of the key.
func (k Key) String() string {
	text := strconv.FormatUint(k.Fingerprint, 16)
	if k.IsPart {
		return partPrefix + text
	}
	return text
}

// ParseKey parses the text form of a key.
func ParseKey(text string) (Key, error) {
	digits, isPart := strings.CutPrefix(text, partPrefix)
	fingerprint, err := strconv.ParseUint(digits, 16, 64)
	if err != nil {
		return Key{}, errors.Wrapf(ErrMalformedKey, "%q", text)
	}
	return Key{Fingerprint: fingerprint, IsPart: isPart}, nil
}

// Fingerprint returns the fingerprint of a request: a hash of its team, path and body.
func Fingerprint(team, path string, body []byte) uint64 {
	h := fnv.New64a()
	// Writes to a hash do not fail.
	_, _ = io.WriteString(h, team)
	_, _ = h.Write([]byte{0})
	_, _ = io.WriteString(h, path)
	_, _ = h.Write([]byte{0})
	_, _ = h.Write(body)
	return h.Sum64()
}

// PartFingerprint returns the fingerprint of a part of a prompt: its ID, or a hash of an ID that is
// no number of up to 16 hexadecimal digits.
func PartFingerprint(id string) uint64 {
	if n, err := strconv.ParseUint(id, 16, 64); err == nil {
		return n
	}
	h := fnv.New64a()
	_, _ = io.WriteString(h, id)
	return h.Sum64()
}

// EventKind is what an Event reports.
type EventKind int

//go:generate stringer -type=EventKind -linecomment -output=eventkind_string.go

// Kinds of events.
const (
	EventCrash      EventKind = iota // crash
	EventQuarantine                  // quarantine
	EventVerdict                     // verdict
	EventClearance                   // clearance
	// EventDelivery reports that runs delivered a part before it was suspected.
	EventDelivery // delivery
)

// Event is the crash of an upstream while it ran a request, or what is known of the request.
// Fields are exported because the CBOR codec fills them.
type Event struct {
	//
	// Fingerprint is that of a request, or of a part if IsPart is set.
	Fingerprint uint64 `cbor:"1,keyasint"`
	// Upstream is the name of the upstream, Incarnation the start time of the process
	// that crashed. Both and RanMs are set for crashes only.
	Upstream    spec.UpstreamID `cbor:"2,keyasint"`
	Incarnation int64           `cbor:"3,keyasint"`
	// RanMs is how long the request had run, in milliseconds.
	RanMs int64 `cbor:"4,keyasint"`
	// AgeMs is how long ago the run ended, in milliseconds. For a quarantine or a verdict it
	// is the age of the last crash, for a clearance how long ago the completed run began.
	AgeMs int64 `cbor:"5,keyasint,omitempty"`
	// IsWeak means that the request is an unlikely cause: it had delivered a part of its
	// answer on the upstream, which ran others as well.
	IsWeak bool      `cbor:"7,keyasint,omitempty"`
	Kind   EventKind `cbor:"8,keyasint,omitempty"`
	// Parts holds the fingerprints of the parts of the prompt that the request may share with
	// others. It is set for crashes only.
	Parts  []uint64 `cbor:"9,keyasint,omitempty"`
	IsPart bool     `cbor:"10,keyasint,omitempty"`
	// Own means that this instance sent the request.
	Own bool `cbor:"-"`
}

// NewCrash returns the crash of an upstream under a request, of which keys identify the suspects.
func NewCrash(keys []Key) Event {
	var e Event
	for _, key := range keys {
		if key.IsPart {
			e.Parts = append(e.Parts, key.Fingerprint)
		} else {
			e.Fingerprint = key.Fingerprint
		}
	}
	return e
}

// Key returns the key of the request or the part that the event is about.
func (e Event) Key() Key { return Key{Fingerprint: e.Fingerprint, IsPart: e.IsPart} }

// PartKeys returns the keys of the parts of the request's prompt.
func (e Event) PartKeys() []Key {
	out := make([]Key, 0, len(e.Parts))
	for _, part := range e.Parts {
		out = append(out, Key{Fingerprint: part, IsPart: true})
	}
	return out
}

// Process returns the process that crashed.
func (e Event) Process() Process { return Process{e.Upstream, e.Incarnation} }

// Process identifies a process of an upstream, which has another incarnation at each start.
type Process struct {
	Upstream    spec.UpstreamID
	Incarnation int64
}

// endedRun is a run that a crash ended.
type endedRun struct {
	Process
	started, ended time.Duration
	weak           bool
}

func newEndedRun(now time.Duration, e Event) endedRun {
	ended := now - time.Duration(e.AgeMs)*time.Millisecond
	return endedRun{Process: e.Process(), started: ended - time.Duration(e.RanMs)*time.Millisecond, ended: ended, weak: e.IsWeak}
}

// isSameProcess reports whether both runs were on the same process.
func (r endedRun) isSameProcess(o endedRun) bool { return r.Process == o.Process }

// sharesCause reports whether the ends of two runs may have one cause: the same process
// crashed, or they ended together.
func (r endedRun) sharesCause(o endedRun) bool {
	if r.isSameProcess(o) {
		return true
	}
	overlap := min(r.ended, o.ended) - max(r.started, o.started)
	gap := (r.ended - o.ended).Abs()
	return gap < minCrashGap || overlap > overlapTolerance && gap < incidentWindow
}
