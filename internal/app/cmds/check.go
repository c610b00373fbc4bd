package cmds

import (
	"fmt"
	"io"
	"strings"

	"fulmarwick/internal/app/setup"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"
)

// errChecked means that check printed its problems already.
var errChecked = errors.Wrap(setup.ErrBad, "cmds: files refused")

func newCheck() *cobra.Command {
	var elsewhere bool
	c := &cobra.Command{
		Use:   "check FILE...",
		Short: "Check settings files and configuration documents",
		Long: `Check reads settings files and documents of classes and teams and prints every
problem of every file, one a line, with file, line, section and reason.

It ends with code 0 if all files are good and 2 if one is refused.`,
		Example: `  fulmarwick check /etc/fulmarwick.ini
  fulmarwick check --elsewhere examples/association/*.ini`,
		Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return check(cmd.OutOrStdout(), args, elsewhere)
		},
	}
	c.Flags().BoolVar(&elsewhere, "elsewhere", false, "the settings are for another machine: do not look for the files that they name")
	return c
}

func check(out io.Writer, paths []string, elsewhere bool) error {
	bad := false
	for _, path := range paths {
		lines := problems(path, elsewhere)
		for _, l := range lines {
			_, _ = fmt.Fprintln(out, l)
		}
		if len(lines) > 0 {
			bad = true
			continue
		}
		_, _ = fmt.Fprintf(out, "%s: good\n", path)
	}
	if bad {
		return errChecked
	}
	return nil
}

func problems(path string, elsewhere bool) []string {
	load := setup.Load
	if elsewhere {
		load = setup.LoadElsewhere
	}
	if _, err := load(path); err != nil {
		return strings.Split(err.Error(), "\n")
	}
	return nil
}
