package config

import (
	"context"
	"fmt"
	"strings"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/state/store"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"
)

// Entry is one accepted change in the history.
type Entry struct {
	Version uint64 `cbor:"1,keyasint"`
	ID      string `cbor:"2,keyasint"`
	Who     string `cbor:"3,keyasint"`
	// At is Unix seconds by the clock of whoever applied.
	At       int64    `cbor:"4,keyasint"`
	Sections []string `cbor:"5,keyasint"`
}

func logKey(version uint64) string { return fmt.Sprintf("%s%016x", logPrefix, version) }

func readEntry(ctx context.Context, t Table, version uint64) (Entry, error) {
	var e Entry
	row, err := t.Get(ctx, logKey(version))
	if err != nil {
		return e, err
	}
	if err := cbor.Unmarshal(row.Value(), &e); err != nil {
		return e, errors.Wrap(ErrRow, err.Error())
	}
	return e, nil
}

// History returns the last limit changes, newest first, at one read each.
func (a *Applier) History(ctx context.Context, limit int) ([]Entry, error) {
	row, err := a.Table.Get(ctx, headKey)
	if errors.Is(err, store.ErrMissing) {
		return nil, nil
	}
	if err != nil {
		return nil, errors.Wrap(ErrStore, err.Error())
	}
	h, err := decodeHead(row.Value())
	if err != nil {
		return nil, err
	}
	var out []Entry
	for v := h.Version; v > 0 && len(out) < limit; v-- {
		e, err := readEntry(ctx, a.Table, v)
		if err != nil {
			return out, errors.Wrap(ErrStore, err.Error())
		}
		out = append(out, e)
	}
	return out, nil
}

// Show reads what the table has in force.
func (a *Applier) Show(ctx context.Context) (*Snapshot, error) {
	f := &Follower{Table: a.Table, Book: &Book{}}
	if err := f.Round(ctx); err != nil {
		return nil, err
	}
	return f.now().snapshot(), nil
}

// Text writes the snapshot as a document that Apply takes, with who made the
// last change of each section.
func (s *Snapshot) Text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "# version %d\n", s.version)
	if s.state == nil {
		return b.String()
	}
	for _, i := range s.state.items() {
		at := time.Unix(i.At, 0).UTC().Format(time.RFC3339)
		fmt.Fprintf(&b, "\n# version %d by %s at %s\n[%s]\n", i.Version, i.Who, at, i.section())
		i.write(&b)
	}
	return b.String()
}

func (i *item) write(b *strings.Builder) {
	switch i.Sort {
	case SortClass:
		i.writeClass(b)
	case SortTeam:
		line(b, "key-hash", i.Hash, i.Hash != "")
		line(b, "share", i.Share, true)
		line(b, "limit", i.Limit, i.Limit > 0)
	case SortService:
		line(b, "outcomes", "yes", i.Asks)
	case SortModel:
		line(b, "default", i.Default, i.Default != "")
	}
}

func (i *item) writeClass(b *strings.Builder) {
	line(b, "kind", i.Kind, true)
	line(b, "model", i.Model, i.Kind == spec.KindModel)
	line(b, "service", i.Service, i.Kind == spec.KindPlain)
	line(b, "repeatable", "yes", i.Repeats)
	line(b, "first", i.First, i.First > 0)
	line(b, "gap", i.Gap, i.Gap > 0)
	line(b, "whole", i.Whole, i.Whole > 0)
	line(b, "percent", i.Percent, true)
	line(b, "reliability", i.Reliability, i.Reliability > 0)
	line(b, "teams", strings.Join(i.Teams, " "), len(i.Teams) > 0)
}

func line(b *strings.Builder, key string, value any, shown bool) {
	if shown {
		fmt.Fprintf(b, "%s = %v\n", key, value)
	}
}
