package ledger

import "fmt"

// Print names all of an attempt's state that its further steps depend on.
func (a *Attempt) Print() string {
	return fmt.Sprint(a.phase, a.rec.State, a.rec.Attempt, string(a.rec.Body), a.base, a.version,
		a.seen.State, a.seen.Attempt, string(a.seen.Body), a.polls, a.loops, a.told, a.outcome.state,
		string(a.outcome.answer.body), a.err == nil)
}
