package daemon

import (
	"context"
	"strings"
	"time"

	"fulmarwick/internal/state/config"
	"fulmarwick/internal/wire/admin"

	"github.com/go-faster/errors"
)

// configAdmin shows and changes the configuration for operators.
type configAdmin struct {
	*Daemon
}

// Show returns the active configuration of this instance, and the other
// instances as last reported.
func (s *configAdmin) Show(context.Context) (admin.Shown, error) {
	out := admin.Shown{Instance: s.Settings.Instance.Name, Instances: []admin.Instance{}}
	if current := s.parts.active.Snapshot(); current != nil {
		out.Version, out.Document = current.Version(), current.Text()
	}
	if s.parts.fleet != nil {
		out.Instances = s.parts.fleet.instances()
	}
	return out, nil
}

// History returns the newest changes.
func (s *configAdmin) History(ctx context.Context, limit int) ([]admin.Change, error) {
	entries, err := s.parts.applier.History(ctx, limit)
	if err != nil {
		return nil, adminError(err)
	}
	out := make([]admin.Change, 0, len(entries))
	for _, e := range entries {
		out = append(out, admin.Change{
			Version: e.Version, ID: e.ID, By: e.Author, At: formatTime(time.Unix(e.At, 0)), Text: strings.Join(e.Sections, ", "),
		})
	}
	return out, nil
}

// Apply validates a change and activates it.
func (s *configAdmin) Apply(ctx context.Context, d admin.Draft) (admin.Applied, error) {
	change := config.Change{Author: d.By, BaseVersion: d.Base}
	for _, doc := range d.Documents {
		change.Documents = append(change.Documents, config.Document{File: doc.Name, Data: []byte(doc.Text)})
	}
	version, err := s.parts.applier.Apply(ctx, change)
	if err != nil {
		return admin.Applied{}, adminError(err)
	}
	s.parts.follower.NotifyVersion(version)
	return admin.Applied{Version: version}, nil
}

// adminError converts an error of package config into the error that operators
// receive.
func adminError(err error) error {
	var invalid *config.InvalidError
	var conflict *config.ConflictError
	var unknown *config.OutcomeUnknownError
	switch {
	case errors.As(err, &invalid):
		out := &admin.RefusedError{}
		for _, p := range invalid.Problems {
			out.Problems = append(out.Problems, p.String())
		}
		return out
	case errors.As(err, &conflict):
		out := &admin.ConflictError{}
		for _, w := range conflict.Winners {
			out.Winners = append(out.Winners, admin.Change{Version: w.Version, By: w.Author, At: formatTime(w.At), Text: w.Section})
		}
		return out
	case errors.As(err, &unknown):
		return &admin.UnsureError{ID: unknown.ChangeID}
	case errors.Is(err, config.ErrStoreUnavailable):
		return errors.Wrap(admin.ErrDown, err.Error())
	}
	return err
}

func formatTime(t time.Time) string { return t.UTC().Format(time.RFC3339) }
