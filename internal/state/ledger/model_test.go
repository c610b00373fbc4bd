package ledger_test

import (
	"fmt"
	"strconv"

	"fulmarwick/internal/state/ledger"
	"fulmarwick/internal/state/store"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"
)

const maxModelAttempts = 6

var errConnectionCut = errors.New("connection cut")

// ownerExited is what the attempts of the model hear about each other's owner. The
// model is driven by one goroutine.
var ownerExited bool

// caller is one caller at one instance; it asks again after "not run".
type caller struct {
	attempt     ledger.Attempt
	id          int
	retriesLeft int
	alive       bool
	lastWrite   store.Write
}

// model is two callers of one key at two instances, one row and one service.
// It is a value: a step works on a copy.
type model struct {
	callers          [2]caller
	row, previousRow store.Row
	version          uint64
	delayedCommits   []store.Write
	delayedRuns      []int
	runs             [maxModelAttempts]int
	toldNotRun       [maxModelAttempts]bool
	nextAttempt      int
	faultsLeft       int
	ignoreConditions bool
	violation        string
}

// event is one thing that may happen next.
type event struct {
	index, kind int
	ownerExited bool
}

// The things that may happen to an action, and the steps of the environment.
const (
	succeeds = iota
	unavailable
	lostBeforeEffect
	lostAfterEffect
	takesEffectLater
	staleRead
	callerCrash
	delayedCommit
	delayedRun
)

func newModel(faults, again int) model {
	m := model{faultsLeft: faults}
	for i := range m.callers {
		m.callers[i].retriesLeft = again
		m.startAttempt(i)
	}
	return m
}

func (m *model) startAttempt(i int) {
	c := &m.callers[i]
	c.id, c.alive = m.nextAttempt, true
	m.nextAttempt++
	c.attempt = *ledger.NewAttempt(ledger.Params{
		Call: ledger.NewCall("t", "payment", "payments", "k", "", []byte("1")),
		ID:   fmt.Sprint("a", c.id), Owner: fmt.Sprint("i", i),
		HasExited: func(string) bool { return ownerExited },
		MaxPolls:  1, PollsBeforeQuery: 1, SupportsOutcomes: true,
	})
}

// events are all things that may happen in this state.
func (m *model) events() []event {
	var out []event
	for i := range m.callers {
		c := &m.callers[i]
		if !c.alive {
			continue
		}
		out = append(out, m.eventsOf(i, c.attempt.NextAction().Kind())...)
	}
	for i := range m.delayedCommits {
		out = append(out, event{index: i, kind: delayedCommit})
	}
	for i := range m.delayedRuns {
		out = append(out, event{index: i, kind: delayedRun})
	}
	return out
}

func (m *model) eventsOf(i int, kind ledger.ActionKind) []event {
	var out []event
	add := func(whats ...int) {
		for _, w := range whats {
			out = append(out, event{index: i, kind: w})
		}
	}
	if kind == ledger.ActEnd {
		if m.callers[i].retriesLeft > 0 && m.toldNotRun[m.callers[i].id] && m.nextAttempt < maxModelAttempts {
			add(succeeds)
		}
		return out
	}
	add(succeeds)
	if kind == ledger.ActRead && !m.callers[1-i].alive {
		out = append(out, event{index: i, kind: succeeds, ownerExited: true})
	}
	if m.faultsLeft == 0 {
		return out
	}
	switch kind {
	case ledger.ActCommit:
		add(unavailable, lostBeforeEffect, lostAfterEffect, takesEffectLater)
	case ledger.ActRead:
		add(unavailable, staleRead)
		out = append(out, event{index: i, kind: succeeds, ownerExited: true})
	case ledger.ActSend:
		add(unavailable, lostBeforeEffect, lostAfterEffect, takesEffectLater)
	case ledger.ActQuery:
		add(unavailable)
	}
	add(callerCrash)
	return out
}

// step returns the state after c; mutate may falsify what the attempt sees.
func (m model) step(c event, mutate func(*caller, ledger.ActionKind, ledger.Result) ledger.Result) model {
	m.delayedCommits = append([]store.Write(nil), m.delayedCommits...)
	m.delayedRuns = append([]int(nil), m.delayedRuns...)
	switch c.kind {
	case delayedCommit:
		_, _ = m.apply(m.delayedCommits[c.index])
		m.delayedCommits = append(m.delayedCommits[:c.index], m.delayedCommits[c.index+1:]...)
		return m
	case delayedRun:
		m.run(m.delayedRuns[c.index])
		m.delayedRuns = append(m.delayedRuns[:c.index], m.delayedRuns[c.index+1:]...)
		return m
	case callerCrash:
		m.callers[c.index].alive = false
	}
	if c.kind != succeeds || c.ownerExited && m.callers[1-c.index].alive {
		m.faultsLeft--
	}
	if c.kind != callerCrash {
		m.performAction(c, mutate)
	}
	return m
}

func (m *model) performAction(c event, mutate func(*caller, ledger.ActionKind, ledger.Result) ledger.Result) {
	who := &m.callers[c.index]
	action := who.attempt.NextAction()
	if action.Kind() == ledger.ActEnd {
		who.retriesLeft--
		m.startAttempt(c.index)
		return
	}
	var r ledger.Result
	switch action.Kind() {
	case ledger.ActCommit:
		who.lastWrite = action.Write()
		r.Version, r.Err = m.commit(action.Write(), c.kind)
	case ledger.ActRead:
		r.Row, r.Err = m.read(c.kind)
	case ledger.ActSend:
		r.Answer, r.Err = m.send(who.id, c.kind)
	case ledger.ActQuery:
		r.Answer, r.Err = m.queryOutcome(c.kind)
	}
	if mutate != nil {
		r = mutate(who, action.Kind(), r)
	}
	ownerExited = c.ownerExited
	who.attempt.ApplyResult(r)
	m.check(who)
}

func (m *model) commit(w store.Write, what int) (uint64, error) {
	switch what {
	case unavailable:
		return 0, store.ErrUnavailable
	case lostBeforeEffect:
		return 0, store.ErrOutcomeUnknown
	case takesEffectLater:
		m.delayedCommits = append(m.delayedCommits, w)
		return 0, store.ErrOutcomeUnknown
	}
	v, err := m.apply(w)
	if what == lostAfterEffect {
		return 0, store.ErrOutcomeUnknown
	}
	return v, err
}

func (m *model) apply(w store.Write) (uint64, error) {
	if m.row.Version() != w.IfVersion() && !m.ignoreConditions {
		return 0, store.ErrConflict
	}
	m.version++
	m.previousRow = m.row
	m.row = store.NewRow(w.Key(), m.version, w.Value())
	return m.version, nil
}

func (m *model) read(what int) (store.Row, error) {
	row := m.row
	if what == staleRead {
		row = m.previousRow
	}
	switch {
	case what == unavailable:
		return row, store.ErrUnavailable
	case row.Version() == 0:
		return row, store.ErrNotFound
	}
	return row, nil
}

func (m *model) send(id, what int) (ledger.Answer, error) {
	switch what {
	case unavailable:
		return ledger.Answer{}, ledger.ErrNotSent
	case lostBeforeEffect:
		return ledger.Answer{}, errConnectionCut
	case takesEffectLater:
		m.delayedRuns = append(m.delayedRuns, id)
		return ledger.Answer{}, errConnectionCut
	}
	m.run(id)
	if what == lostAfterEffect {
		return ledger.Answer{}, errConnectionCut
	}
	return answerOf(id), nil
}

func (m *model) queryOutcome(what int) (ledger.Answer, error) {
	for id, n := range m.runs {
		if n > 0 && what == succeeds {
			return answerOf(id), nil
		}
	}
	return ledger.Answer{}, errConnectionCut
}

func answerOf(id int) ledger.Answer {
	return ledger.NewAnswer(200, "", fmt.Appendf(nil, "ran a%d", id))
}

func (m *model) run(id int) {
	m.runs[id]++
	total := 0
	for _, n := range m.runs {
		total += n
	}
	if total > 1 {
		m.violation = fmt.Sprintf("got %v runs by attempt, want one in all", m.runs)
	}
	if m.toldNotRun[id] {
		m.violation = fmt.Sprintf("got a run of a%d after its caller was told it did not run", id)
	}
}

// check holds what the caller was told against what ran.
func (m *model) check(c *caller) {
	out, told, err := c.attempt.Outcome()
	switch {
	case !told:
	case err != nil, out.State() == ledger.StateNotRun:
		m.toldNotRun[c.id] = true
		if m.runs[c.id] > 0 {
			m.violation = fmt.Sprintf("got notrun for a%d that ran", c.id)
		}
	case out.State() == ledger.StateDone:
		ran := -1
		for id, n := range m.runs {
			if n > 0 {
				ran = id
			}
		}
		if got, want := string(out.Answer().Body()), fmt.Sprintf("ran a%d", ran); got != want {
			m.violation = fmt.Sprintf("got done with %q, want %q", got, want)
		}
	}
}

func (m *model) fingerprint() string {
	to := make([]byte, 0, 512)
	number := func(n int) { to = append(strconv.AppendInt(to, int64(n), 10), ' ') }
	number(int(m.row.Version()))
	number(int(m.previousRow.Version()))
	number(m.faultsLeft)
	number(m.nextAttempt)
	to = append(append(append(to, m.row.Value()...), '|'), m.previousRow.Value()...)
	for i := range maxModelAttempts {
		number(m.runs[i])
		to = strconv.AppendBool(to, m.toldNotRun[i])
	}
	for _, id := range m.delayedRuns {
		number(id)
	}
	for i := range m.callers {
		c := &m.callers[i]
		to = strconv.AppendBool(append(to, '|'), c.alive)
		number(c.id)
		number(c.retriesLeft)
		to = c.attempt.AppendFingerprint(to)
	}
	for _, w := range m.delayedCommits {
		number(int(w.IfVersion()))
		to = append(to, w.Value()...)
	}
	return string(to)
}

// stateOf reads the state that a row holds.
func stateOf(row store.Row) ledger.State {
	var fields struct {
		State ledger.State `cbor:"3,keyasint"`
	}
	if err := cbor.Unmarshal(row.Value(), &fields); err != nil {
		panic(err)
	}
	return fields.State
}

// rowWithState returns the row that the caller's last write would have made, with
// the state replaced unless it is StateNone.
func rowWithState(row store.Row, value []byte, state ledger.State) store.Row {
	if state != ledger.StateNone {
		var fields map[int]any
		if err := cbor.Unmarshal(value, &fields); err != nil {
			panic(err)
		}
		fields[3] = int(state)
		value, _ = cbor.Marshal(fields)
	}
	return store.NewRow("call/t/payment/k", row.Version(), value)
}
