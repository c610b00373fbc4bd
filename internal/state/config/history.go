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

// HistoryEntry is the history's record of one accepted change.
type HistoryEntry struct {
	Version uint64 `cbor:"1,keyasint"`
	ID      string `cbor:"2,keyasint"`
	Author  string `cbor:"3,keyasint"`
	// At is the Unix time in seconds on the clock of the process that applied the
	// change.
	At       int64    `cbor:"4,keyasint"`
	Sections []string `cbor:"5,keyasint"`
}

func historyKey(version uint64) string { return fmt.Sprintf("%s%016x", historyPrefix, version) }

func readHistoryEntry(ctx context.Context, t Table, version uint64) (HistoryEntry, error) {
	var e HistoryEntry
	row, err := t.Get(ctx, historyKey(version))
	if err != nil {
		return e, err
	}
	if err := cbor.Unmarshal(row.Value(), &e); err != nil {
		return e, errors.Wrap(ErrBadRows, err.Error())
	}
	return e, nil
}

// History returns the last limit changes, newest first. It makes one read for each.
func (a *Applier) History(ctx context.Context, limit int) ([]HistoryEntry, error) {
	row, err := a.Table.Get(ctx, headKey)
	if errors.Is(err, store.ErrNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, errors.Wrap(ErrStoreUnavailable, err.Error())
	}
	h, err := decodeHead(row.Value())
	if err != nil {
		return nil, err
	}
	var out []HistoryEntry
	for v := h.Version; v > 0 && len(out) < limit; v-- {
		e, err := readHistoryEntry(ctx, a.Table, v)
		if err != nil {
			return out, errors.Wrap(ErrStoreUnavailable, err.Error())
		}
		out = append(out, e)
	}
	return out, nil
}

// ReadSnapshot reads the active configuration from the table.
func (a *Applier) ReadSnapshot(ctx context.Context) (*Snapshot, error) {
	f := &Follower{Table: a.Table, Active: &Active{}}
	if err := f.Poll(ctx); err != nil {
		return nil, err
	}
	return f.currentState().snapshot(), nil
}

// Text returns the snapshot as a document that Apply accepts. Comments give the
// author of the last change of each section.
func (s *Snapshot) Text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "# version %d\n", s.version)
	if s.state == nil {
		return b.String()
	}
	for _, i := range s.state.items() {
		at := time.Unix(i.At, 0).UTC().Format(time.RFC3339)
		fmt.Fprintf(&b, "\n# version %d by %s at %s\n[%s]\n", i.Version, i.Author, at, i.sectionName())
		i.write(&b)
	}
	return b.String()
}

func (i *item) write(b *strings.Builder) {
	switch i.Sort {
	case ItemClass:
		i.writeClass(b)
	case ItemTeam:
		writeKey(b, "key-hash", i.KeyHash, i.KeyHash != "")
		writeKey(b, "share", i.Share, true)
		writeKey(b, "limit", i.RateLimit, i.RateLimit > 0)
	case ItemService:
		writeKey(b, "outcomes", "yes", i.Outcomes)
	case ItemModel:
		writeKey(b, "default", i.DefaultClass, i.DefaultClass != "")
	}
}

func (i *item) writeClass(b *strings.Builder) {
	writeKey(b, "kind", i.Kind, true)
	writeKey(b, "model", i.Model, i.Kind == spec.KindModel)
	writeKey(b, "service", i.Service, i.Kind == spec.KindPlain)
	writeKey(b, "repeatable", "yes", i.Repeatable)
	writeKey(b, "first", i.FirstEvent, i.FirstEvent > 0)
	writeKey(b, "gap", i.Gap, i.Gap > 0)
	writeKey(b, "whole", i.TotalTime, i.TotalTime > 0)
	writeKey(b, "percent", i.Percent, true)
	writeKey(b, "reliability", i.Reliability, i.Reliability > 0)
	writeKey(b, "teams", strings.Join(i.Teams, " "), len(i.Teams) > 0)
}

func writeKey(b *strings.Builder, key string, value any, isSet bool) {
	if isSet {
		fmt.Fprintf(b, "%s = %v\n", key, value)
	}
}
