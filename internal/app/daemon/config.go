package daemon

import (
	"context"
	"strings"
	"time"

	"fulmarwick/internal/state/config"
	"fulmarwick/internal/wire/admin"

	"github.com/go-faster/errors"
)

// operatorConfig is the configuration as operators see it at this instance:
// Show tells what is in force here, the rest goes to the platform's table.
type operatorConfig struct {
	instance string
	book     *config.Book
	applier  *config.Applier
	// hint tells the follower of a version, so that a change is in force here
	// at once.
	hint func(version uint64)
	// others tells the versions in force on the other instances.
	others func() []admin.Instance
}

// Show tells what is in force on this instance.
func (o *operatorConfig) Show(context.Context) (admin.Shown, error) {
	out := admin.Shown{Instance: o.instance, Instances: o.others()}
	if now := o.book.Now(); now != nil {
		out.Version, out.Document = now.Version(), now.Text()
	}
	return out, nil
}

// History lists the newest changes.
func (o *operatorConfig) History(ctx context.Context, limit int) ([]admin.Change, error) {
	entries, err := o.applier.History(ctx, limit)
	if err != nil {
		return nil, configError(err)
	}
	out := make([]admin.Change, 0, len(entries))
	for _, e := range entries {
		out = append(out, admin.Change{
			Version: e.Version, ID: e.ID, By: e.Who, At: stamp(time.Unix(e.At, 0)), Text: strings.Join(e.Sections, ", "),
		})
	}
	return out, nil
}

// Apply puts documents in force.
func (o *operatorConfig) Apply(ctx context.Context, d admin.Draft) (admin.Applied, error) {
	change := config.Change{Who: d.By, Base: d.Base}
	for _, doc := range d.Documents {
		change.Documents = append(change.Documents, config.Document{File: doc.Name, Data: []byte(doc.Text)})
	}
	version, err := o.applier.Apply(ctx, change)
	if err != nil {
		return admin.Applied{}, configError(err)
	}
	o.hint(version)
	return admin.Applied{Version: version}, nil
}

// configError turns the errors of the configuration into those of operators.
func configError(err error) error {
	var conflict *config.ConflictError
	var invalid *config.InvalidError
	var unsure *config.UnsureError
	switch {
	case errors.As(err, &conflict):
		out := &admin.ConflictError{}
		for _, w := range conflict.Winners {
			out.Winners = append(out.Winners, admin.Change{Version: w.Version, By: w.Who, At: stamp(w.At), Text: w.Section})
		}
		return out
	case errors.As(err, &invalid):
		out := &admin.RefusedError{}
		for _, p := range invalid.Problems {
			out.Problems = append(out.Problems, p.String())
		}
		return out
	case errors.As(err, &unsure):
		return &admin.UnsureError{ID: unsure.Change}
	case errors.Is(err, config.ErrStore):
		return errors.Wrap(admin.ErrDown, err.Error())
	}
	return err
}

func stamp(t time.Time) string { return t.UTC().Format(time.RFC3339) }
