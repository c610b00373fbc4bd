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
		Long: `Serve runs one instance until it is told to stop, by SIGTERM, SIGINT or drain.
It then turns the balancer away, accepts what still comes, finishes every
request however long it takes, and ends with code 0. A second signal closes the
listeners at once; it cuts no request either.`,
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
	c.Flags().StringVar(&path, "settings", "fulmarwick.ini", "settings of the instance")
	return c
}
