package crash

import (
	"time"

	"github.com/go-faster/errors"
)

// Check returns why a request with these suspects must not be sent now, or nil. One with a trial
// for each of those that are quarantined may be sent.
func (t *Tracker) Check(now time.Duration, keys []Key) error {
	var err error
	for _, key := range keys {
		s := t.unexpired(now, key)
		switch {
		case s.standing == StandingCulprit:
			return ErrCulprit
		case s.standing == StandingQuarantined && !s.mayTry(now):
			err = ErrQuarantined
		}
	}
	return err
}

// Begin records that a request is sent that Check allows. Trials are used up by that.
func (t *Tracker) Begin(now time.Duration, keys []Key) {
	for _, key := range keys {
		if s := t.unexpired(now, key); s.trials > 0 {
			s.trials--
			t.suspects[key] = s
		}
	}
}

// ReturnTrials records that a request which began at a time was not sent after all. If it was a trial,
// this instance may send the request once, soon.
func (t *Tracker) ReturnTrials(now time.Duration, keys []Key, began time.Duration) {
	for _, key := range keys {
		if s := t.unexpired(now, key); s.standing == StandingQuarantined && began >= s.restrictedAt {
			s.trials, s.startUntil = 1, now+trialStart
			t.suspects[key] = s
		}
	}
}

// NeedTrials returns the quarantined suspects of a request for which this instance should ask for
// trials now, all at once. It returns them once in TrialInterval or in JointTrialInterval.
func (t *Tracker) NeedTrials(now time.Duration, keys []Key) []Key {
	if !errors.Is(t.Check(now, keys), ErrQuarantined) {
		return nil
	}
	var out []Key
	for _, key := range keys {
		if s := t.unexpired(now, key); s.standing == StandingQuarantined && !s.mayTry(now) {
			out = append(out, key)
		}
	}
	isJoint := len(out) > 1
	for _, key := range out {
		s := t.suspects[key]
		if !isJoint && now < s.nextTrialAt || isJoint && now < s.nextJointAt {
			return nil
		}
	}
	for _, key := range out {
		s := t.suspects[key]
		if isJoint {
			s.nextJointAt = now + JointTrialInterval
		} else {
			s.nextTrialAt = now + TrialInterval
		}
		t.suspects[key] = s
	}
	return out
}

// GrantTrials records that this instance may send a request with these quarantined suspects once.
func (t *Tracker) GrantTrials(now time.Duration, keys []Key) {
	for _, key := range keys {
		if s := t.unexpired(now, key); s.standing == StandingQuarantined {
			s.trials, s.startUntil = 1, now+trialStart
			t.suspects[key] = s
		}
	}
}

// HasExpiredTrial reports whether a trial of a suspect was granted to this instance that did not begin in time.
func (t *Tracker) HasExpiredTrial(now time.Duration, key Key) bool {
	s := t.unexpired(now, key)
	return s.trials > 0 && !s.mayTry(now)
}

// AreTrialsOver reports whether a quarantined request of which so many trials were granted, the last
// one so long ago, is a culprit although no crash is known under a trial: no trial is left, and none
// can still have an outcome that clears the request.
func AreTrialsOver(trials int, sinceLast time.Duration) bool {
	return trials >= MaxTrials && sinceLast >= trialTimeout
}
