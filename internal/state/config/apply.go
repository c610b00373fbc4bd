package config

import (
	"context"
	"strings"
	"time"
	"unicode"

	"fulmarwick/internal/state/store"

	"github.com/go-faster/errors"
	"github.com/google/uuid"
)

const (
	// maxTries bounds the tries of a change. A try is repeated after a concurrent
	// change or a lost response.
	maxTries      = 16
	minRetryDelay = 10 * time.Millisecond
	maxRetryDelay = time.Second
)

// CommitTable is the part of the platform's table that Applier needs.
type CommitTable interface {
	Table
	Commit(ctx context.Context, writes []store.Write) (uint64, error)
}

// Change is a set of documents to apply, with its author.
type Change struct {
	Documents []Document
	// Author is the operator who makes the change.
	Author string
	// BaseVersion is the version that the operator looked at. A section that
	// another operator changed after it is a conflict. Zero means the version at
	// the start of Apply.
	BaseVersion uint64
	// ID identifies the change; a random ID is generated if it is empty. A change
	// does not take effect twice with the same ID while the history entry at the
	// version where it was tried has this ID.
	ID string
}

// Applier applies changes to the configuration. Set the exported fields before use.
type Applier struct {
	Table CommitTable
	// StartFrom is a follower whose rows a change starts from, so that it reads
	// only later rows. The follower may be behind: a commit based on old rows has
	// no effect, and the newer rows are then read. Nil means that all rows are
	// read for each change.
	StartFrom *Follower
	// TeamInUse reports whether a team to be removed is in use, and how it is used.
	// Nil means that only the classes are checked.
	TeamInUse func(team string) (string, bool)
	// Now is the wall clock; nil means time.Now.
	Now func() time.Time
}

// attempt is the state of one change while it is applied.
type attempt struct {
	*Applier
	follower       *Follower
	changes        []sectionChange
	entry          HistoryEntry
	baseVersion    uint64
	maybeCommitted bool
}

// Apply activates the sections of the documents, all or none, and returns the first
// version that has them. Other sections are not changed. The error is an
// *InvalidError, a *ConflictError, an *OutcomeUnknownError or ErrStoreUnavailable.
func (a *Applier) Apply(ctx context.Context, c Change) (uint64, error) {
	changes, problems := parse(c.Documents)
	t := a.newAttempt(c, changes)
	if err := t.follower.Poll(ctx); err != nil {
		return 0, err
	}
	t.baseVersion = c.BaseVersion
	if t.baseVersion == 0 {
		t.baseVersion = t.follower.Version()
	}
	if len(problems) > 0 {
		_, more := t.nextState()
		return 0, &InvalidError{Problems: append(problems, more...)}
	}
	for n := range maxTries {
		version, done, err := t.tryCommit(ctx)
		if done || err != nil {
			return version, err
		}
		time.Sleep(min(maxRetryDelay, minRetryDelay<<n))
	}
	return 0, t.storeError(errors.New("too many tries"))
}

// Check returns the problems for which Apply would reject the documents now, as an
// *InvalidError.
func (a *Applier) Check(ctx context.Context, docs []Document) error {
	changes, problems := parse(docs)
	t := a.newAttempt(Change{}, changes)
	if err := t.follower.Poll(ctx); err != nil {
		return err
	}
	_, more := t.nextState()
	if problems = append(problems, more...); len(problems) > 0 {
		return &InvalidError{Problems: problems}
	}
	return nil
}

// CheckOffline returns the problems that can be found in the documents without the
// table, as an *InvalidError.
func CheckOffline(docs []Document) error {
	changes, problems := parse(docs)
	next := newState()
	for _, c := range changes {
		next.rows[c.item.key()] = &storedRow{item: c.item}
	}
	more := (&checker{proposed: next, offline: true}).run(changes, nil)
	if problems = append(problems, more...); len(problems) > 0 {
		return &InvalidError{Problems: problems}
	}
	return nil
}

func (a *Applier) newAttempt(c Change, changes []sectionChange) *attempt {
	id := c.ID
	if id == "" {
		id = uuid.NewString()
	}
	now := time.Now
	if a.Now != nil {
		now = a.Now
	}
	f := &Follower{Table: a.Table, Active: &Active{}}
	if a.StartFrom != nil {
		f.state = a.StartFrom.currentState()
	}
	return &attempt{
		Applier: a, follower: f, changes: changes,
		entry: HistoryEntry{ID: id, Author: oneLine(c.Author), At: now().Unix()},
	}
}

// tryCommit makes one commit based on the newest known state. Done is true if the
// change is active or cannot be applied. Otherwise the caller tries again, with a
// newer state or with the same commit.
func (t *attempt) tryCommit(ctx context.Context) (version uint64, done bool, err error) {
	if err := t.checkConflict(); err != nil {
		return 0, true, err
	}
	next, problems := t.nextState()
	if len(problems) > 0 {
		return 0, true, &InvalidError{Problems: problems}
	}
	writes, target := t.buildWrites(next)
	if len(writes) == 0 {
		return t.follower.Version(), true, nil
	}
	_, err = t.Table.Commit(ctx, writes)
	switch {
	case err == nil:
		return target, true, nil
	case errors.Is(err, store.ErrConflict):
		return t.resolveConflict(ctx, target)
	case errors.Is(err, store.ErrUnavailable):
		return 0, true, t.storeError(err)
	}
	// The response was lost. The same commit is tried again. At most one of the
	// two takes effect, since both have the same condition on the head.
	t.maybeCommitted = true
	if ctx.Err() != nil {
		return 0, true, t.storeError(err)
	}
	return 0, false, nil
}

// resolveConflict handles a conflict. If the response to an earlier try was lost, the
// version may have been taken by this change itself.
func (t *attempt) resolveConflict(ctx context.Context, target uint64) (uint64, bool, error) {
	if t.maybeCommitted {
		entry, err := readHistoryEntry(ctx, t.Table, target)
		switch {
		case errors.Is(err, store.ErrNotFound):
			// The read is stale; the next try finds the entry or the conflict.
			return 0, false, nil
		case err != nil:
			return 0, true, t.storeError(err)
		case entry.ID == t.entry.ID:
			return target, true, nil
		}
		t.maybeCommitted = false
	}
	if err := t.follower.Poll(ctx); err != nil {
		return 0, true, t.storeError(err)
	}
	return 0, false, nil
}

// storeError returns the error for a change that the store interrupted: an
// OutcomeUnknownError if the change may have taken effect.
func (t *attempt) storeError(cause error) error {
	if t.maybeCommitted {
		return &OutcomeUnknownError{ChangeID: t.entry.ID}
	}
	return errors.Wrap(ErrStoreUnavailable, cause.Error())
}

// oneLine replaces control characters, so that a name cannot end the comment line in
// which Text writes it.
func oneLine(author string) string {
	return strings.Map(func(r rune) rune {
		if unicode.IsControl(r) {
			return ' '
		}
		return r
	}, author)
}
