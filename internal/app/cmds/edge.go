package cmds

import (
	"context"
	"os"

	"fulmarwick/internal/app/edge"
	"fulmarwick/internal/app/setup"

	"github.com/spf13/cobra"
)

func newEdge() *cobra.Command {
	var path string
	c := &cobra.Command{
		Use:   "edge",
		Short: "Run an instance on the users' platform",
		Long: `Edge runs one instance between the platform's balancer and its upstreams. It
follows the operator's configuration and the list of upstreams in the platform's
store, and places layers on engines while it holds the lease for placement. SIGTERM
stops it: it reports to the balancer that it is not ready, accepts requests that still
arrive and finishes every request.`,
		Example: "  fulmarwick edge --settings /etc/fulmarwick/local.conf",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			settings, err := setup.Load(path)
			if err != nil {
				return err
			}
			log, stop, err := newBoundedLog(settings.Log, os.Stdout)
			if err != nil {
				return err
			}
			defer stop()
			return runInstance(cmd.Context(), &edge.Instance{
				Settings: settings, Log: log, Build: buildVersion(),
				ReadSettings: func() (setup.Settings, error) { return setup.Load(path) },
			})
		},
	}
	c.Flags().StringVar(&path, "settings", "fulmarwick.ini", "settings file of the instance")
	return c
}

// instance is a process that a command runs until signals stop it.
type instance interface {
	stopper
	Run(ctx context.Context) error
}
