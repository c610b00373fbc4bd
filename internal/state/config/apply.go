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
	maxTries = 16
	tryFirst = 10 * time.Millisecond
	tryMost  = time.Second
)

// CommitTable is the part of the platform's table that Applier needs.
type CommitTable interface {
	Table
	Commit(ctx context.Context, writes []store.Write) (uint64, error)
}

// Change is documents to put in force.
type Change struct {
	Documents []Document
	// Who makes the change.
	Who string
	// Base is the version that the operator looked at; sections that others
	// changed after it are a conflict. Zero is the version at the start.
	Base uint64
	// ID names the change; empty makes one up. The same ID never takes effect
	// twice while its log entry stands at the version where it was tried.
	ID string
}

// Applier changes the configuration. Set the exported fields before use.
type Applier struct {
	Table CommitTable
	// From is a follower whose rows are known already, so that a change reads
	// only later ones. It may be behind: a change on old rows has no effect,
	// and they are read anew. Nil reads all rows for each change.
	From *Follower
	// Uses reports whether a team that is to be removed is in use, and how;
	// nil looks at the classes only.
	Uses func(team string) (string, bool)
	// Now is the wall clock; nil is time.Now.
	Now func() time.Time
}

// attempt is one change on its way.
type attempt struct {
	*Applier
	follower *Follower
	changes  []change
	entry    Entry
	base     uint64
	open     bool
}

// Apply puts the documents' sections in force, all or none, and returns the
// version from which they are. Sections that are not named stay. The error is
// an *InvalidError, a *ConflictError, an *UnsureError or ErrStore.
func (a *Applier) Apply(ctx context.Context, c Change) (uint64, error) {
	changes, problems := parse(c.Documents)
	t := a.attempt(c, changes)
	if err := t.follower.Round(ctx); err != nil {
		return 0, err
	}
	t.base = c.Base
	if t.base == 0 {
		t.base = t.follower.Version()
	}
	if len(problems) > 0 {
		_, more := t.next()
		return 0, &InvalidError{Problems: append(problems, more...)}
	}
	for n := range maxTries {
		version, done, err := t.try(ctx)
		if done || err != nil {
			return version, err
		}
		time.Sleep(min(tryMost, tryFirst<<n))
	}
	return 0, t.failed(errors.New("too many tries"))
}

// Check returns the problems that Apply would refuse the documents for now,
// as an *InvalidError.
func (a *Applier) Check(ctx context.Context, docs []Document) error {
	changes, problems := parse(docs)
	t := a.attempt(Change{}, changes)
	if err := t.follower.Round(ctx); err != nil {
		return err
	}
	_, more := t.next()
	if problems = append(problems, more...); len(problems) > 0 {
		return &InvalidError{Problems: problems}
	}
	return nil
}

// CheckAlone returns the problems that documents have by themselves, without
// the table, as an *InvalidError.
func CheckAlone(docs []Document) error {
	changes, problems := parse(docs)
	next := newState()
	for _, c := range changes {
		next.rows[c.item.key()] = &held{item: c.item}
	}
	more := (&checker{next: next, alone: true}).run(changes, nil)
	if problems = append(problems, more...); len(problems) > 0 {
		return &InvalidError{Problems: problems}
	}
	return nil
}

func (a *Applier) attempt(c Change, changes []change) *attempt {
	id := c.ID
	if id == "" {
		id = uuid.NewString()
	}
	now := time.Now
	if a.Now != nil {
		now = a.Now
	}
	f := &Follower{Table: a.Table, Book: &Book{}}
	if a.From != nil {
		f.state = a.From.now()
	}
	return &attempt{
		Applier: a, follower: f, changes: changes,
		entry: Entry{ID: id, Who: oneLine(c.Who), At: now().Unix()},
	}
}

// try makes one commit on the newest state known. It is done if the change is
// in force; else the state is read anew, or the same commit made again.
func (t *attempt) try(ctx context.Context) (version uint64, done bool, err error) {
	if err := t.conflict(); err != nil {
		return 0, true, err
	}
	next, problems := t.next()
	if len(problems) > 0 {
		return 0, true, &InvalidError{Problems: problems}
	}
	writes, target := t.writes(next)
	if len(writes) == 0 {
		return t.follower.Version(), true, nil
	}
	_, err = t.Table.Commit(ctx, writes)
	switch {
	case err == nil:
		return target, true, nil
	case errors.Is(err, store.ErrConflict):
		return t.refused(ctx, target)
	case errors.Is(err, store.ErrDown):
		return 0, true, t.failed(err)
	}
	// The answer was lost. The same commit again takes effect once at most,
	// since both have the same condition on the head.
	t.open = true
	if ctx.Err() != nil {
		return 0, true, t.failed(err)
	}
	return 0, false, nil
}

// refused goes on after a conflict: it may be this very change, whose first
// answer was lost, that took the version.
func (t *attempt) refused(ctx context.Context, target uint64) (uint64, bool, error) {
	if t.open {
		entry, err := readEntry(ctx, t.Table, target)
		switch {
		case errors.Is(err, store.ErrMissing):
			// A stale read; the next try finds the entry or the conflict.
			return 0, false, nil
		case err != nil:
			return 0, true, t.failed(err)
		case entry.ID == t.entry.ID:
			return target, true, nil
		}
		t.open = false
	}
	if err := t.follower.Round(ctx); err != nil {
		return 0, true, t.failed(err)
	}
	return 0, false, nil
}

// failed tells whether the change can still have taken effect.
func (t *attempt) failed(cause error) error {
	if t.open {
		return &UnsureError{Change: t.entry.ID}
	}
	return errors.Wrap(ErrStore, cause.Error())
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
