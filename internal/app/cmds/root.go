// Package cmds implements the commands of the program, one file each.
//
// It imports app/daemon, app/edge, app/setup, wire/admin and, for the trial and load
// commands, the fakes. main calls Execute.
package cmds

import (
	"context"
	"fmt"
	"io"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"
)

const exitCodesText = `Exit codes: 0 success; 1 failure; 2 wrong usage, or settings or documents rejected;
3 conflict with another operator's change; 4 instance or store unreachable.`

// Execute runs the command line args and returns the exit code.
func Execute(args []string, out, errOut io.Writer) int {
	root := newRoot()
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(errOut)
	started := false
	root.PersistentPreRun = func(*cobra.Command, []string) { started = true }
	err := root.ExecuteContext(context.Background())
	if err == nil {
		return ExitOK
	}
	if !started {
		// The command did not start, so its command line is invalid.
		err = errors.Wrap(errUsage, err.Error())
	}
	if !errors.Is(err, errProblemsPrinted) {
		_, _ = fmt.Fprintln(errOut, "fulmarwick:", err)
	}
	return exitCode(err)
}

func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:           "fulmarwick",
		Short:         "Route requests over pipelines of mixed accelerators",
		Long:          "Fulmarwick routes requests over pipelines of mixed accelerators and meets the\ntargets that operators set for each class of work.\n\n" + exitCodesText,
		SilenceErrors: true,
		SilenceUsage:  true,
		// Without a command, print the help.
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return cmd.Help() },
	}
	root.AddCommand(
		newServe(), newEdge(), newExplain(), newTrial(), newLoad(), newCheck(), newApply(), newShow(), newStatus(), newDrain(), newVersion(),
	)
	return root
}
