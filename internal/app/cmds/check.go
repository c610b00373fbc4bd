package cmds

import (
	"fmt"
	"io"
	"os"
	"regexp"
	"strings"

	"fulmarwick/internal/app/setup"
	"fulmarwick/internal/state/config"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"
)

// errProblemsPrinted means that check printed its problems already.
var errProblemsPrinted = errors.Wrap(setup.ErrBad, "cmds: files refused")

func newCheck() *cobra.Command {
	var elsewhere bool
	c := &cobra.Command{
		Use:   "check FILE...",
		Short: "Check settings files and configuration documents",
		Long: `Check reads settings files and documents of classes and teams and prints every
problem of every file, one a line, with file, line or section, and reason. Documents are
checked together; names that they use and do not define may be in force already.

It ends with code 0 if all files are good and 2 if one is refused.`,
		Example: `  fulmarwick check /etc/fulmarwick.ini
  fulmarwick check --elsewhere examples/association/*.ini
  fulmarwick check classes.ini teams.ini`,
		Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return check(cmd.OutOrStdout(), args, elsewhere)
		},
	}
	c.Flags().BoolVar(&elsewhere, "elsewhere", false, "the settings are for another machine: do not look for the files that they name")
	return c
}

func check(out io.Writer, paths []string, elsewhere bool) error {
	found := map[string][]string{}
	var documents []config.Document
	for _, path := range paths {
		data, err := os.ReadFile(path)
		if err == nil && isDocument(data) {
			documents = append(documents, config.Document{File: path, Data: data})
			continue
		}
		found[path] = settingsProblems(path, elsewhere)
	}
	documentProblems(documents, found)
	return printProblems(out, paths, found)
}

func printProblems(out io.Writer, paths []string, found map[string][]string) error {
	bad := false
	for _, path := range paths {
		for _, l := range found[path] {
			_, _ = fmt.Fprintln(out, l)
		}
		if len(found[path]) == 0 {
			_, _ = fmt.Fprintf(out, "%s: good\n", path)
		}
		bad = bad || len(found[path]) > 0
	}
	if bad {
		return errProblemsPrinted
	}
	return nil
}

// documentSection is the first line of a section that only documents have.
var documentSection = regexp.MustCompile(`(?m)^\s*\[\s*(class|team|service|model)\b`)

// isDocument tells a document of classes and teams from settings.
func isDocument(data []byte) bool { return documentSection.Match(data) }

func settingsProblems(path string, elsewhere bool) []string {
	load := setup.Load
	if elsewhere {
		load = setup.LoadElsewhere
	}
	if _, err := load(path); err != nil {
		return strings.Split(err.Error(), "\n")
	}
	return nil
}

// documentProblems checks all documents together, as apply takes them.
func documentProblems(documents []config.Document, found map[string][]string) {
	var invalid *config.InvalidError
	if err := config.CheckOffline(documents); !errors.As(err, &invalid) {
		return
	}
	for _, p := range invalid.Problems {
		found[p.File] = append(found[p.File], p.String())
	}
}
