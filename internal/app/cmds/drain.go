package cmds

import (
	"context"
	"fmt"
	"io"
	"time"

	"fulmarwick/internal/wire/admin"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"
)

// drainPollInterval is the interval between status requests to a draining instance.
const drainPollInterval = time.Second

func newDrain() *cobra.Command {
	var r remoteFlags
	var wait bool
	c := &cobra.Command{
		Use:   "drain",
		Short: "Stop an instance without interrupting requests",
		Long: `Drain starts the graceful stop of an instance: the instance reports to the balancer
that it is not ready, accepts requests that still arrive, finishes every request
however long it takes, and then exits with code 0.`,
		Example: `  fulmarwick drain --url http://127.0.0.1:7070
  fulmarwick drain --wait`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			client, err := r.singleClient()
			if err != nil {
				return err
			}
			running, err := client.Drain(cmd.Context())
			if err != nil {
				return err
			}
			_, _ = fmt.Fprintf(cmd.OutOrStdout(), "stopping, %d requests in progress\n", running)
			if !wait {
				return nil
			}
			return waitEnded(cmd.Context(), cmd.OutOrStdout(), client)
		},
	}
	r.register(c)
	c.Flags().BoolVar(&wait, "wait", false, "wait until the instance has exited")
	return c
}

// waitEnded prints the number of remaining requests until the instance no longer
// answers.
func waitEnded(ctx context.Context, out io.Writer, client *admin.Client) error {
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	last := -1
	for {
		status, err := client.Status(ctx)
		if errors.Is(err, admin.ErrReach) && ctx.Err() == nil {
			_, _ = fmt.Fprintln(out, "ended")
			return nil
		}
		if err != nil {
			return err
		}
		if status.Running != last {
			last = status.Running
			_, _ = fmt.Fprintf(out, "%d requests in progress\n", last)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
