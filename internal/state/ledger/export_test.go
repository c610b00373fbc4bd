package ledger

import "strconv"

// Print names all of an attempt's state that its further steps depend on.
func (a *Attempt) Print(to []byte) []byte {
	for _, n := range []int{
		int(a.phase), int(a.rec.State), int(a.base), int(a.version), int(a.seen.State),
		a.polls, a.inquired, a.loops, int(a.outcome.state),
	} {
		to = append(strconv.AppendInt(to, int64(n), 10), ' ')
	}
	to = strconv.AppendBool(strconv.AppendBool(to, a.told), a.err == nil)
	for _, s := range []string{a.rec.Attempt, a.seen.Attempt, string(a.rec.Body), string(a.seen.Body), string(a.outcome.answer.body)} {
		to = append(append(to, s...), ' ')
	}
	return to
}
