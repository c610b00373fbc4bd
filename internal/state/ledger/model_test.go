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

// ownerExited is the result of HasExited for all attempts of the model. The model is
// driven by one goroutine.
var ownerExited bool

// caller is one caller at one instance; it retries after "not run".
type caller struct {
	attempt     ledger.Attempt
	id          int
	retriesLeft int
	alive       bool
	lastWrite   store.Write
}

// model has two callers of one key at two instances, one row and one service. It is
// a value: each step works on a copy.
type model struct {
	callers          [2]caller
	row, previousRow store.Row
	version          uint64
	delayedCommits   []store.Write
	delayedRuns      []int
	runs             [maxModelAttempts]int
	reportedNotRun   [maxModelAttempts]bool
	nextAttempt      int
	faultsLeft       int
	ignoreConditions bool
	violation        string
}

// event is one possible next event.
type event struct {
	index, kind int
	ownerExited bool
}

// The possible results of an action, and the events of the environment.
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

func newModel(faults, retries int) model {
	m := model{faultsLeft: faults}
	for i := range m.callers {
		m.callers[i].retriesLeft = retries
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

// events returns all events that are possible in this state.
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
	add := func(kinds ...int) {
		for _, k := range kinds {
			out = append(out, event{index: i, kind: k})
		}
	}
	if kind == ledger.ActEnd {
		if m.callers[i].retriesLeft > 0 && m.reportedNotRun[m.callers[i].id] && m.nextAttempt < maxModelAttempts {
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

// step returns the state after event c; mutate may change the result that the attempt
// sees.
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
	active := &m.callers[c.index]
	action := active.attempt.NextAction()
	if action.Kind() == ledger.ActEnd {
		active.retriesLeft--
		m.startAttempt(c.index)
		return
	}
	var r ledger.Result
	switch action.Kind() {
	case ledger.ActCommit:
		active.lastWrite = action.Write()
		r.Version, r.Err = m.commit(action.Write(), c.kind)
	case ledger.ActRead:
		r.Row, r.Err = m.read(c.kind)
	case ledger.ActSend:
		r.Answer, r.Err = m.send(active.id, c.kind)
	case ledger.ActQuery:
		r.Answer, r.Err = m.queryOutcome(c.kind)
	}
	if mutate != nil {
		r = mutate(active, action.Kind(), r)
	}
	ownerExited = c.ownerExited
	active.attempt.ApplyResult(r)
	m.check(active)
}

func (m *model) commit(w store.Write, kind int) (uint64, error) {
	switch kind {
	case unavailable:
		return 0, store.ErrUnavailable
	case lostBeforeEffect:
		return 0, store.ErrOutcomeUnknown
	case takesEffectLater:
		m.delayedCommits = append(m.delayedCommits, w)
		return 0, store.ErrOutcomeUnknown
	}
	v, err := m.apply(w)
	if kind == lostAfterEffect {
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

func (m *model) read(kind int) (store.Row, error) {
	row := m.row
	if kind == staleRead {
		row = m.previousRow
	}
	switch {
	case kind == unavailable:
		return row, store.ErrUnavailable
	case row.Version() == 0:
		return row, store.ErrNotFound
	}
	return row, nil
}

func (m *model) send(id, kind int) (ledger.Answer, error) {
	switch kind {
	case unavailable:
		return ledger.Answer{}, ledger.ErrNotSent
	case lostBeforeEffect:
		return ledger.Answer{}, errConnectionCut
	case takesEffectLater:
		m.delayedRuns = append(m.delayedRuns, id)
		return ledger.Answer{}, errConnectionCut
	}
	m.run(id)
	if kind == lostAfterEffect {
		return ledger.Answer{}, errConnectionCut
	}
	return answerOf(id), nil
}

func (m *model) queryOutcome(kind int) (ledger.Answer, error) {
	for id, n := range m.runs {
		if n > 0 && kind == succeeds {
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
	if m.reportedNotRun[id] {
		m.violation = fmt.Sprintf("got a run of a%d after not run was reported to its caller", id)
	}
}

// check compares the outcome that was reported to the caller with the calls that ran.
func (m *model) check(c *caller) {
	out, resolved, err := c.attempt.Outcome()
	switch {
	case !resolved:
	case err != nil, out.State() == ledger.StateNotRun:
		m.reportedNotRun[c.id] = true
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
		to = strconv.AppendBool(to, m.reportedNotRun[i])
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

// stateOf returns the state in a row.
func stateOf(row store.Row) ledger.State {
	var fields struct {
		State ledger.State `cbor:"3,keyasint"`
	}
	if err := cbor.Unmarshal(row.Value(), &fields); err != nil {
		panic(err)
	}
	return fields.State
}

// rowWithState returns a row with the given value and the version of row. The state in
// the value is replaced unless state is StateNone.
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
