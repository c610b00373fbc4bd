// Package cmds holds the commands of the program, one file each.
//
// It imports app/daemon, app/setup and, for trial, the stand-ins. main calls
// Execute.
package cmds

import (
	"context"
	"fmt"
	"io"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
	"go.uber.org/zap"
)

// Exit codes of the program.
const (
	ExitOK = 0
	// ExitFail is any failure that is not the user's input.
	ExitFail = 1
	// ExitUsage is a wrong command line or refused settings.
	ExitUsage = 2
)

// Execute runs the command line args and returns the exit code.
func Execute(args []string, out, errOut io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	root := &cobra.Command{
		Use:           "fulmarwick",
		Short:         "Route requests over pipelines of mixed accelerators",
		SilenceErrors: true,
		SilenceUsage:  true,
	}
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(errOut)
	root.AddCommand(newServe(), newTrial(), newCheck())
	if err := root.ExecuteContext(ctx); err != nil {
		_, _ = fmt.Fprintln(errOut, "fulmarwick:", err)
		return exitCode(err)
	}
	return ExitOK
}

func newLog() (*zap.Logger, error) {
	c := zap.NewProductionConfig()
	c.DisableStacktrace = true
	return c.Build()
}
