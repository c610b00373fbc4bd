package cmds

import (
	"fulmarwick/internal/app/daemon"
	"fulmarwick/internal/app/setup"

	"github.com/spf13/cobra"
)

func newServe() *cobra.Command {
	var path string
	c := &cobra.Command{
		Use:     "serve",
		Short:   "Run an instance",
		Example: "  fulmarwick serve --settings klang-1.ini",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			settings, err := setup.Load(path)
			if err != nil {
				return err
			}
			log, err := newLog()
			if err != nil {
				return err
			}
			d := &daemon.Daemon{Settings: settings, Log: log}
			return d.Run(cmd.Context())
		},
	}
	c.Flags().StringVar(&path, "settings", "fulmarwick.ini", "settings of the instance")
	return c
}
