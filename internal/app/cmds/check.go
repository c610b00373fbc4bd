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

// errProblemsPrinted is returned by check after it printed the problems that it found,
// so that Execute prints no further message.
var errProblemsPrinted = errors.Wrap(setup.ErrBad, "cmds: files rejected")

func newCheck() *cobra.Command {
	var elsewhere bool
	c := &cobra.Command{
		Use:   "check FILE...",
		Short: "Check settings files and configuration documents",
		Long: `Check reads settings files and documents of classes and teams and prints every
problem of every file, one per line, with file, line or section, and reason. Documents
are checked together. They may use names that they do not define, since those may be in
force already.

It exits with code 0 if all files are valid and 2 if at least one is rejected.`,
		Example: `  fulmarwick check /etc/fulmarwick.ini
  fulmarwick check --elsewhere examples/association/*.ini
  fulmarwick check classes.ini teams.ini`,
		Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return check(cmd.OutOrStdout(), args, elsewhere)
		},
	}
	c.Flags().BoolVar(&elsewhere, "elsewhere", false, "the settings are for another machine: do not check that the files they refer to exist")
	return c
}

// check validates the files at paths and prints the problems of each to out.
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

// printProblems prints the problems of each file, or that the file is valid. It returns
// errProblemsPrinted if any file has problems.
func printProblems(out io.Writer, paths []string, found map[string][]string) error {
	invalid := false
	for _, path := range paths {
		for _, problem := range found[path] {
			_, _ = fmt.Fprintln(out, problem)
		}
		if len(found[path]) == 0 {
			_, _ = fmt.Fprintf(out, "%s: good\n", path)
		}
		invalid = invalid || len(found[path]) > 0
	}
	if invalid {
		return errProblemsPrinted
	}
	return nil
}

// documentSection matches the header of a section that occurs only in documents.
var documentSection = regexp.MustCompile(`(?m)^\s*\[\s*(class|team|service|model)\b`)

// isDocument reports whether data is a document of classes and teams rather than a
// settings file.
func isDocument(data []byte) bool { return documentSection.Match(data) }

// settingsProblems returns the problems of a settings file.
func settingsProblems(path string, elsewhere bool) []string {
	load := setup.Load
	if elsewhere {
		load = setup.LoadWithoutFiles
	}
	if _, err := load(path); err != nil {
		return strings.Split(err.Error(), "\n")
	}
	return nil
}

// documentProblems checks all documents together, as apply does, and adds the problems
// of each to found.
func documentProblems(documents []config.Document, found map[string][]string) {
	var invalid *config.InvalidError
	if err := config.CheckOffline(documents); !errors.As(err, &invalid) {
		return
	}
	for _, p := range invalid.Problems {
		found[p.File] = append(found[p.File], p.String())
	}
}
