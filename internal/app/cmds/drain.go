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

// drainPollInterval is the time between two looks at an instance that stops.
const drainPollInterval = time.Second

func newDrain() *cobra.Command {
	var r remoteFlags
	var wait bool
	c := &cobra.Command{
		Use:   "drain",
		Short: "Stop an instance without cutting a request",
		Long: `Drain begins the graceful stop of an instance: it turns the balancer away,
accepts what still comes, finishes every request however long it takes, and then
ends with code 0.`,
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
	c.Flags().BoolVar(&wait, "wait", false, "wait until the instance has ended")
	return c
}

// waitEnded reports the requests left until the instance answers no more.
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
