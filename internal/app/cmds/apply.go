package cmds

import (
	"fmt"
	"os"
	"os/user"
	"path/filepath"

	"fulmarwick/internal/wire/admin"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"
)

func newApply() *cobra.Command {
	var r remoteFlags
	var by string
	var base uint64
	c := &cobra.Command{
		Use:   "apply FILE...",
		Short: "Change classes and teams",
		Long: `Apply sends documents of classes and teams to an instance, which checks them. The
instance applies all of them, and they are in force everywhere within seconds, or it
rejects all of them.

The change is compared with the version that it is based on: the version given by
--version, or else the version in force when the command starts. If another operator
has changed the same class or team since then, the command prints that change and
exits with code 3.`,
		Example: `  fulmarwick apply examples/association/classes.ini examples/association/teams.ini
  fulmarwick apply --url http://127.0.0.1:7070 --version 41 classes.ini`,
		Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			documents, err := readDocuments(args)
			if err != nil {
				return err
			}
			client, err := r.singleClient()
			if err != nil {
				return err
			}
			if !cmd.Flags().Changed("version") {
				shown, err := client.Show(cmd.Context())
				if err != nil {
					return err
				}
				base = shown.Version
			}
			applied, err := client.Apply(cmd.Context(), admin.Draft{Base: base, By: by, Documents: documents})
			if errors.Is(err, admin.ErrDown) {
				return errors.Wrap(err, "nothing changed")
			}
			if err != nil {
				return err
			}
			_, _ = fmt.Fprintf(cmd.OutOrStdout(), "accepted as version %d\n", applied.Version)
			return nil
		},
	}
	r.register(c)
	c.Flags().StringVar(&by, "by", currentUser(), "name of the operator; the name in a certificate takes precedence")
	c.Flags().Uint64Var(&base, "version", 0, "version that the change is based on")
	return c
}

// readDocuments reads the files at paths. A file that cannot be read is an errUsage.
func readDocuments(paths []string) ([]admin.Document, error) {
	var out []admin.Document
	for _, p := range paths {
		data, err := os.ReadFile(p)
		if err != nil {
			return nil, errors.Wrap(errUsage, err.Error())
		}
		out = append(out, admin.Document{Name: filepath.Base(p), Text: string(data)})
	}
	return out, nil
}

// currentUser returns the name of the user who runs the command, or "" if it is not
// known.
func currentUser() string {
	u, err := user.Current()
	if err != nil {
		return ""
	}
	return u.Username
}
