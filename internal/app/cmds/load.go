package cmds

import (
	"context"
	"fmt"
	"io"
	"os"

	"fulmarwick/internal/fakes/depot"
	"fulmarwick/internal/fakes/drive"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"
)

// loadFlags are the flags of the load command.
type loadFlags struct {
	addresses []string
	report    string
	plot      string
	quiet     bool
}

func newLoad() *cobra.Command {
	var f loadFlags
	c := &cobra.Command{
		Use:   "load WORKLOAD",
		Short: "Run a workload on stand-ins or on running instances and report the results",
		Long: `Load sends the requests of a workload file and injects its faults. Without --address
it starts a stand-in platform with its upstreams and instances in this process. With
--address it sends the requests to those instances and rejects workloads with faults.`,
		Example: "  fulmarwick load examples/usual.load --plot load.svg --report load.json",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			data, err := os.ReadFile(args[0])
			if err != nil {
				return errors.Wrap(err, "load")
			}
			work, err := drive.Parse(data)
			if err != nil {
				return errors.Wrap(err, args[0])
			}
			return runLoad(cmd.Context(), work, f, cmd.OutOrStdout(), cmd.ErrOrStderr())
		},
	}
	c.Flags().StringSliceVar(&f.addresses, "address", nil, "caller addresses of running instances, separated by commas")
	c.Flags().StringVar(&f.report, "report", "", "write the result as JSON to this file")
	c.Flags().StringVar(&f.plot, "plot", "", "plot latencies and the served share over time to this file, as SVG")
	c.Flags().BoolVar(&f.quiet, "quiet", false, "print no progress")
	return c
}

// runLoad runs the workload, prints the report to out and writes the files that the
// flags name.
func runLoad(ctx context.Context, work drive.Workload, f loadFlags, out, progress io.Writer) (err error) {
	run, done, err := newRun(ctx, work, f.addresses)
	if err != nil {
		return err
	}
	defer func() {
		if closeErr := done(); err == nil {
			err = closeErr
		}
	}()
	if !f.quiet {
		run.Progress = func(n int, s drive.Second) {
			_, _ = fmt.Fprintf(progress, "%4d s  ended %d  served %.1f%%  first event %.0f ms, %.0f ms at p99\n", n, s.Asked, 100*s.Served, s.FirstP50, s.FirstP99)
		}
	}
	report, err := run.Do(ctx)
	if err != nil {
		return errors.Wrap(err, "load")
	}
	if err := report.Table(out); err != nil {
		return errors.Wrap(err, "load: table")
	}
	if err := toFile(f.report, report.JSON); err != nil {
		return err
	}
	return toFile(f.plot, report.Plot)
}

// newRun returns a run of the workload against addresses, or against fakes in this
// process if there are none. done stops the fakes.
func newRun(ctx context.Context, work drive.Workload, addresses []string) (run *drive.Run, done func() error, err error) {
	if len(addresses) > 0 {
		if len(work.Faults) > 0 {
			return nil, nil, errors.Wrap(drive.ErrInvalidWorkload, "faults can be made in stand-ins only, not at --address")
		}
		return &drive.Run{Workload: work, Addresses: addresses}, func() error { return nil }, nil
	}
	d := &depot.Depot{Instances: work.Instances}
	if err := d.Open(ctx); err != nil {
		return nil, nil, err
	}
	return d.NewRun(work), d.Close, nil
}

// toFile calls write with a new file called name. It does nothing if name is empty.
func toFile(name string, write func(io.Writer) error) error {
	if name == "" {
		return nil
	}
	file, err := os.Create(name)
	if err != nil {
		return errors.Wrap(err, "load")
	}
	if err := write(file); err != nil {
		_ = file.Close()
		return errors.Wrap(err, name)
	}
	if err := file.Close(); err != nil {
		return errors.Wrap(err, name)
	}
	return nil
}
