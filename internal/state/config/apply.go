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

// maxTries bounds how often a change is tried again behind other changes and
// lost answers.
const (
	maxTries      = 16
	minRetryDelay = 10 * time.Millisecond
	maxRetryDelay = time.Second
)

// CommitTable is the part of the platform's table that Applier needs.
type CommitTable interface {
	Table
	Commit(ctx context.Context, writes []store.Write) (uint64, error)
}

// Change is documents to put in force.
type Change struct {
	Documents []Document
	// Author makes the change.
	Author string
	// BaseVersion is the version that the operator looked at; sections that others
	// changed after it are a conflict. Zero is the version at the start.
	BaseVersion uint64
	// ID names the change; empty makes one up. The same ID never takes effect
	// twice while its log entry stands at the version where it was tried.
	ID string
}

// Applier changes the configuration. Set the exported fields before use.
type Applier struct {
	Table CommitTable
	// StartFrom is a follower whose rows are known already, so that a change reads
	// only later ones. It may be behind: a change on old rows has no effect,
	// and they are read anew. Nil reads all rows for each change.
	StartFrom *Follower
	// TeamInUse reports whether a team that is to be removed is in use, and how;
	// nil looks at the classes only.
	TeamInUse func(team string) (string, bool)
	// Now is the wall clock; nil is time.Now.
	Now func() time.Time
}

// attempt is one change on its way.
type attempt struct {
	*Applier
	follower       *Follower
	changes        []sectionChange
	entry          HistoryEntry
	baseVersion    uint64
	maybeCommitted bool
}

// Apply puts the documents' sections in force, all or none, and returns the
// version from which they are. Sections that are not named stay. The error is
// an *InvalidError, a *ConflictError, an *UnsureError or ErrStore.
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

// Check returns the problems that Apply would refuse the documents for now,
// as an *InvalidError.
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

// CheckOffline returns the problems that documents have by themselves, without
// the table, as an *InvalidError.
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

// tryCommit makes one commit on the newest state known. It is done if the change is
// in force; else the state is read anew, or the same commit made again.
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
	// The answer was lost. The same commit again takes effect once at most,
	// since both have the same condition on the head.
	t.maybeCommitted = true
	if ctx.Err() != nil {
		return 0, true, t.storeError(err)
	}
	return 0, false, nil
}

// resolveConflict goes on after a conflict: it may be this very change, whose first
// answer was lost, that took the version.
func (t *attempt) resolveConflict(ctx context.Context, target uint64) (uint64, bool, error) {
	if t.maybeCommitted {
		entry, err := readHistoryEntry(ctx, t.Table, target)
		switch {
		case errors.Is(err, store.ErrNotFound):
			// A stale read; the next try finds the entry or the conflict.
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

// storeError tells whether the change can still have taken effect.
func (t *attempt) storeError(cause error) error {
	if t.maybeCommitted {
		return &OutcomeUnknownError{ChangeID: t.entry.ID}
	}
	return errors.Wrap(ErrStoreUnavailable, cause.Error())
}

// oneLine keeps a name from ending the comment in which Text writes it.
func oneLine(who string) string {
	return strings.Map(func(r rune) rune {
		if unicode.IsControl(r) {
			return ' '
		}
		return r
	}, who)
}
