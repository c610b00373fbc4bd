package ledger

import "strconv"

// AppendFingerprint appends all state of the attempt that its further steps depend on.
func (a *Attempt) AppendFingerprint(to []byte) []byte {
	for _, n := range []int{
		int(a.phase), int(a.ownRecord.State), int(a.baseVersion), int(a.version), int(a.otherRecord.State),
		a.polls, a.queriedAtPoll, a.restarts, int(a.outcome.state),
	} {
		to = append(strconv.AppendInt(to, int64(n), 10), ' ')
	}
	to = strconv.AppendBool(strconv.AppendBool(to, a.resolved), a.err == nil)
	for _, s := range []string{a.ownRecord.Attempt, a.otherRecord.Attempt, string(a.ownRecord.Body), string(a.otherRecord.Body), string(a.outcome.answer.body)} {
		to = append(append(to, s...), ' ')
	}
	return to
}
