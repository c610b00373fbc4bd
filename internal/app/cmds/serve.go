package cmds

import (
	"fulmarwick/internal/app/daemon"
	"fulmarwick/internal/app/setup"

	"github.com/spf13/cobra"
)

func newServe() *cobra.Command {
	var path string
	c := &cobra.Command{
		Use:   "serve",
		Short: "Run an instance",
		Long: `Serve runs one instance until SIGTERM, SIGINT or the drain command stops it.
The instance then reports to the balancer that it is not ready, accepts requests that
still arrive, finishes every request however long it takes, and exits with code 0. A
second signal closes the listeners at once; it interrupts no request either.`,
		Example: "  fulmarwick serve --settings /etc/fulmarwick/klang-1.ini",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			settings, err := setup.Load(path)
			if err != nil {
				return err
			}
			log, err := newLog(settings.Log)
			if err != nil {
				return err
			}
			return runInstance(cmd.Context(), &daemon.Daemon{Settings: settings, Log: log, Build: buildVersion()})
		},
	}
	c.Flags().StringVar(&path, "settings", "fulmarwick.ini", "settings file of the instance")
	return c
}
