package cmds

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"

	"fulmarwick/internal/wire/admin"

	"github.com/spf13/cobra"
)

func newShow() *cobra.Command {
	var r remoteFlags
	var history int
	c := &cobra.Command{
		Use:   "show",
		Short: "Show the classes and teams in force, and who changed them",
		Long: `Show prints the version in force on each instance and the classes and teams as a
document that apply accepts. With --history it prints the newest changes instead.`,
		Example: `  fulmarwick show
  fulmarwick show --history 10
  fulmarwick show --url http://127.0.0.1:7070 > classes.ini`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			clients, err := r.clients()
			if err != nil {
				return err
			}
			if history > 0 {
				return printHistory(cmd.Context(), cmd.OutOrStdout(), clients[0], history)
			}
			return printShown(cmd.Context(), cmd.OutOrStdout(), clients)
		},
	}
	r.register(c)
	c.Flags().IntVar(&history, "history", 0, "print this many of the newest changes")
	return c
}

// printShown prints the versions of the instances and the document of the first instance
// that answers. The versions are comments, so the whole output is a valid document.
func printShown(ctx context.Context, out io.Writer, clients []*admin.Client) error {
	var failed error
	var document *string
	seen := map[string]bool{}
	for _, c := range clients {
		shown, err := c.Show(ctx)
		if err != nil {
			_, _ = fmt.Fprintf(out, "# %s: %v\n", c.Base, err)
			failed = err
			continue
		}
		if document == nil {
			document = &shown.Document
		}
		own := admin.Instance{Name: shown.Instance, Version: shown.Version, State: "asked"}
		for _, i := range append([]admin.Instance{own}, shown.Instances...) {
			if !seen[i.Name] {
				seen[i.Name] = true
				_, _ = fmt.Fprintf(out, "# %s: version %d (%s)\n", i.Name, i.Version, i.State)
			}
		}
	}
	if document != nil {
		_, _ = fmt.Fprintf(out, "\n%s", *document)
	}
	return failed
}

// printHistory prints the newest changes as a table.
func printHistory(ctx context.Context, out io.Writer, c *admin.Client, limit int) error {
	changes, err := c.History(ctx, limit)
	if err != nil {
		return err
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	defer func() { _ = w.Flush() }()
	_, _ = fmt.Fprintln(w, "VERSION\tAT\tBY\tCHANGE\tID")
	for _, ch := range changes {
		_, _ = fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%s\n", ch.Version, ch.At, ch.By, ch.Text, ch.ID)
	}
	return nil
}
