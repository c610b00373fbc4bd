package cmds

import (
	"fmt"
	"runtime/debug"

	"github.com/spf13/cobra"
)

func newVersion() *cobra.Command {
	return &cobra.Command{
		Use:     "version",
		Short:   "Print the version of the program",
		Example: "  fulmarwick version",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			_, _ = fmt.Fprintln(cmd.OutOrStdout(), "fulmarwick", buildVersion())
			return nil
		},
	}
}

// buildVersion returns the program's version, the commit that it was built from if the
// toolchain recorded one, and the Go version.
func buildVersion() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	out := info.Main.Version
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			out += " " + s.Value
		}
	}
	return out + " " + info.GoVersion
}
