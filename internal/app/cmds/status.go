package cmds

import (
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"strings"
	"text/tabwriter"

	"fulmarwick/internal/wire/admin"

	"github.com/spf13/cobra"
)

func newStatus() *cobra.Command {
	var r remoteFlags
	var asJSON bool
	c := &cobra.Command{
		Use:   "status",
		Short: "Show targets and attained values, engines and instances",
		Long: `Status requests the status of instances: the target of each class and the value
attained over the last five minutes, the utilization of each engine, the upstreams that
are leaving, and the configuration version in force. Times are in milliseconds.

It exits with code 4 if an instance does not answer, and still prints the status of
the others.`,
		Example: `  fulmarwick status
  fulmarwick status --url http://127.0.0.1:7070 --json
  fulmarwick status --url https://10.1.1.11:7070,https://10.1.1.12:7070 --cert ani.crt --key ani.key --ca ca.crt`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			clients, err := r.clients()
			if err != nil {
				return err
			}
			replies := fetchStatuses(cmd.Context(), clients)
			if asJSON {
				return printJSON(cmd.OutOrStdout(), replies)
			}
			return printStatus(cmd.OutOrStdout(), replies)
		},
	}
	r.register(c)
	c.Flags().BoolVar(&asJSON, "json", false, "print JSON: a list with one entry per instance that answered")
	return c
}

// printJSON prints the statuses of the instances that answered as a JSON list.
func printJSON(out io.Writer, replies []reply) error {
	list := []admin.Status{}
	for _, r := range replies {
		if r.err == nil {
			list = append(list, r.status)
		}
	}
	e := json.NewEncoder(out)
	e.SetIndent("", "  ")
	if err := e.Encode(list); err != nil {
		return err
	}
	return firstError(replies)
}

func firstError(replies []reply) error {
	for _, r := range replies {
		if r.err != nil {
			return r.err
		}
	}
	return nil
}

// printStatus prints each status as tables.
func printStatus(out io.Writer, replies []reply) error {
	for i, r := range replies {
		if i > 0 {
			_, _ = fmt.Fprintln(out)
		}
		if r.err != nil {
			_, _ = fmt.Fprintf(out, "%s: %v\n", r.url, r.err)
			continue
		}
		printInstance(out, &r.status)
	}
	return firstError(replies)
}

func printInstance(out io.Writer, s *admin.Status) {
	_, _ = fmt.Fprintf(out, "instance %s in %s: %s, %d running, configuration %d, goal %s\n",
		s.Instance, s.DataCentre, stateText(s), s.Running, s.Version, s.Goal)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	defer func() { _ = w.Flush() }()
	if len(s.Classes) > 0 {
		_, _ = fmt.Fprintln(w, "\nCLASS\tTARGET\tATTAINED\tANSWERED\tHOLDS\tREQUESTS\tFIRST P95/LIMIT\tGAP P95/LIMIT\tWHOLE P95/LIMIT")
	}
	for _, c := range s.Classes {
		_, _ = fmt.Fprintf(w, "%s\t%.1f%%\t%.1f%%\t%s\t%s\t%d\t%s\t%s\t%s\n",
			c.Name, c.Percent, c.Attained, answeredText(c), yesNo(c.Holds), c.Requests, latencyText(c.First), latencyText(c.Gap), latencyText(c.Whole))
	}
	if len(s.Engines) > 0 {
		_, _ = fmt.Fprintln(w, "\nENGINE\tDATA CENTRE\tKIND\tSTATE\tLAYERS\tACTIVE\tQUEUED\tSLOTS\tUSE")
	}
	for _, e := range s.Engines {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%d\t%d\t%d\t%.0f%%\n",
			e.Name, e.DataCentre, e.Kind, e.State, e.Layers, e.Active, e.Queued, e.Slots, 100*e.Use)
	}
	if p := s.Placement; p != nil {
		_, _ = fmt.Fprintf(w, "\nplacement: %.0f%% of the bound, %.0f%% once loaded; %d loading, %d waiting, %d stuck, %d holders missing\n",
			100*p.Part, 100*p.Target, p.Loading, p.Waiting, p.Stuck, p.Missing)
	}
	if len(s.Instances) > 0 {
		_, _ = fmt.Fprintln(w, "\nINSTANCE\tDATA CENTRE\tSTATE\tCONFIGURATION")
	}
	for _, i := range s.Instances {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", i.Name, i.DataCentre, i.State, versionText(i.Version))
	}
	if len(s.Leaving) > 0 {
		_, _ = fmt.Fprintf(w, "\nleaving: %s\n", strings.Join(s.Leaving, ", "))
	}
}

func stateText(s *admin.Status) string {
	switch {
	case s.Stopping:
		return "stopping"
	case s.Ready:
		return "ready"
	}
	return "not ready"
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "NO"
}

// latencyText formats the 95th percentile and its limit.
func latencyText(t admin.Times) string {
	if t.Limit == 0 {
		return fmt.Sprintf("%.1f/-", t.P95)
	}
	return fmt.Sprintf("%.1f/%.0f", t.P95, t.Limit)
}

// versionText formats a version, or "-" if it is not known.
func versionText(version uint64) string {
	if version == 0 {
		return "-"
	}
	return strconv.FormatUint(version, 10)
}

// answeredText formats the percentage of requests answered and, if one is configured, the
// reliability target.
func answeredText(c admin.Class) string {
	if c.Reliability == 0 {
		return fmt.Sprintf("%.1f%%", c.Answered)
	}
	return fmt.Sprintf("%.1f%%/%.1f%%", c.Answered, c.Reliability)
}
