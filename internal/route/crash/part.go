package crash

import (
	"cmp"
	"slices"
	"time"
)

// SettleAt returns when Settle is due, and false if it is not.
func (t *Tracker) SettleAt() (time.Duration, bool) { return t.settleAt, t.settleDue }

// scheduleSettle makes Settle due a moment from now, unless it is due before.
func (t *Tracker) scheduleSettle(now time.Duration) {
	if !t.settleDue {
		t.settleDue, t.settleAt = true, now+settleTime
	}
}

// Settle weighs the evidence against parts, once it is due.
func (t *Tracker) Settle(now time.Duration) {
	if !t.settleDue || now < t.settleAt {
		return
	}
	t.settleDue = false
	parts := t.partSuspects(now)
	t.convictParts(now, parts)
	t.quarantineParts(now, t.partSuspects(now))
}

// partSuspects returns the parts under which upstreams ended, those that explain crashes best
// first: a part that no run has delivered of late, then one that explains many crashes, then one
// that few runs had.
func (t *Tracker) partSuspects(now time.Duration) (out []Key) {
	for key := range t.suspects {
		if key.IsPart && len(t.unexpired(now, key).ended) > 0 {
			out = append(out, key)
		}
	}
	slices.SortFunc(out, func(a, b Key) int {
		x, y := t.suspects[a], t.suspects[b]
		return cmp.Or(
			cmpBool(t.delivered.has(a), t.delivered.has(b)), cmp.Compare(len(y.ended), len(x.ended)), cmp.Compare(x.runs, y.runs), cmp.Compare(a.Fingerprint, b.Fingerprint),
		)
	})
	return out
}

// cmpBool orders false before true.
func cmpBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// convictParts makes culprits of the parts whose trials crashed upstreams, if nothing else
// explains that.
func (t *Tracker) convictParts(now time.Duration, parts []Key) {
	for _, key := range parts {
		s := t.suspects[key]
		if s.standing != StandingQuarantined || !slices.ContainsFunc(s.ended, func(run endedRun) bool {
			return s.isFailedTrial(run) && !t.hasOtherSuspect(parts, key, run.Process)
		}) {
			continue
		}
		s.standing = StandingCulprit
		t.suspects[key] = s
		t.recordChange(key, s)
		t.explainAll(now, key)
	}
}

// hasOtherSuspect reports whether another part may have ended a process: one that is restricted,
// or that might be if the first one were not.
func (t *Tracker) hasOtherSuspect(parts []Key, key Key, p Process) bool {
	return slices.ContainsFunc(parts, func(other Key) bool {
		s := t.suspects[other]
		return other != key && s.hasEnded(p) && (s.standing > StandingFree || s.isImplicated() && !t.isSoundBeside(key, other))
	})
}

// isSoundBeside reports whether a part merely ran beside another one: runs delivered it of late, it
// crashed no upstream without the other, and more runs had it.
func (t *Tracker) isSoundBeside(key, part Key) bool {
	return t.delivered.has(part) && t.suspects[part].runs > t.suspects[key].runs && !slices.ContainsFunc(t.suspects[part].ended, func(run endedRun) bool { return !t.suspects[key].hasEnded(run.Process) })
}

func (s suspect) hasEnded(p Process) bool {
	return slices.ContainsFunc(s.ended, func(run endedRun) bool { return run.Process == p })
}

// quarantineParts quarantines parts. The crashes that one explains do not count against the
// others: parts that many requests share are on each upstream that ends.
func (t *Tracker) quarantineParts(now time.Duration, parts []Key) {
	x := explanation{processes: map[Process]bool{}}
	for _, key := range parts {
		if s := t.suspects[key]; s.standing > StandingFree {
			x.add(s)
		}
	}
	for _, key := range parts {
		s := t.suspects[key]
		if s.standing > StandingFree || !x.leavesEnough(s) || t.common.has(key) {
			continue
		}
		s.standing, s.restrictedAt = StandingQuarantined, now
		t.suspects[key] = s
		t.recordChange(key, s)
		x.add(s)
	}
}

// explanation is what restricted parts explain.
type explanation struct {
	processes map[Process]bool
	// restrictedAt is when the last of the parts was restricted.
	restrictedAt time.Duration
}

func (x *explanation) add(s suspect) {
	for _, run := range s.ended {
		x.processes[run.Process] = true
	}
	x.restrictedAt = max(x.restrictedAt, s.restrictedAt)
}

// leavesEnough reports whether the ends that are not explained suffice for a quarantine. One does
// that came after the other parts were quarantined: they were not all that crash upstreams.
func (x *explanation) leavesEnough(s suspect) bool {
	left := slices.DeleteFunc(slices.Clone(s.ended), func(run endedRun) bool { return x.processes[run.Process] })
	isLater := func(run endedRun) bool { return !run.weak && run.started >= x.restrictedAt }
	return isEnough(left) || s.isImplicated() && slices.ContainsFunc(left, isLater)
}

// explainAll exonerates all other suspects of the ends that a culprit explains.
func (t *Tracker) explainAll(now time.Duration, culprit Key) {
	for _, run := range t.suspects[culprit].ended {
		t.explain(now, culprit, run.Process)
	}
}

// explain exonerates all other suspects of the end of a process, under which a culprit ran.
func (t *Tracker) explain(now time.Duration, culprit Key, p Process) {
	t.explained.add(now, p)
	for key, s := range t.suspects {
		if key == culprit || !s.hasEnded(p) {
			continue
		}
		lifted := s.exonerate(key, p)
		t.keep(key, s)
		if lifted {
			t.recordChange(key, s)
		}
	}
}
