package cmds

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"sort"
	"strings"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"
)

func newExplain() *cobra.Command {
	var showLosses bool
	c := &cobra.Command{
		Use:   "explain ID [FILE ...]",
		Short: "Show the history of a request or an engine from logs",
		Long: `Explain reads the logs of instances, from files or standard input, and prints every
line that contains ID in order of time. ID is the ID of a request, an engine, an address
or an instance. Lines without a JSON object are skipped; a prefix before the object,
as log collectors add it, is kept.

With --losses it takes no ID and prints a table instead: for each two seconds the number
of requests served, the number not served or late by reason, the engines that died, how
their runs were moved, and the layer that most often lacked KV memory; then the same
by route, team and data centre. A retry by a caller counts as a new request, since a
request has no reference to the one before it.`,
		Example: "  fulmarwick explain 9c41d07be2a35f68 klang-1.log klang-2.log\n  fulmarwick explain --losses klang-1.log klang-2.log",
		Args: func(_ *cobra.Command, args []string) error {
			if !showLosses && len(args) == 0 {
				return errors.New("cmds: explain: ID or --losses is required")
			}
			return nil
		},
		RunE: func(cmd *cobra.Command, args []string) error {
			if showLosses {
				return explainLosses(cmd, args)
			}
			return explainID(cmd, args[0], args[1:])
		},
	}
	c.Flags().BoolVar(&showLosses, "losses", false, "print a table of the requests not served in time")
	return c
}

// explainID prints the log entries that contain id.
func explainID(cmd *cobra.Command, id string, names []string) error {
	var found []logEntry
	err := readLogs(cmd, names, func(r io.Reader) error {
		more, err := matchingEntries(r, id)
		found = append(found, more...)
		return err
	})
	if err != nil {
		return err
	}
	return printEntries(cmd.OutOrStdout(), id, found)
}

// explainLosses prints the table of losses.
func explainLosses(cmd *cobra.Command, names []string) error {
	l := newLosses()
	if err := readLogs(cmd, names, l.read); err != nil {
		return err
	}
	return l.write(cmd.OutOrStdout())
}

// readLogs calls read with each of the named files, or with standard input if there are
// none.
func readLogs(cmd *cobra.Command, names []string, read func(io.Reader) error) error {
	if len(names) == 0 {
		return read(cmd.InOrStdin())
	}
	for _, name := range names {
		f, err := os.Open(name)
		if err != nil {
			return errors.Wrap(err, "cmds: explain")
		}
		err = read(f)
		_ = f.Close()
		if err != nil {
			return err
		}
	}
	return nil
}

// logEntry is one log line that contains the requested ID.
type logEntry struct {
	time   string
	prefix string
	values map[string]any
}

// maxLine is the maximum length of a log line in bytes.
const maxLine = 1 << 20

// newLineScanner returns a scanner for the lines of a log, each up to maxLine bytes.
func newLineScanner(r io.Reader) *bufio.Scanner {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLine)
	return lines
}

// matchingEntries returns the entries of a log that contain id.
func matchingEntries(r io.Reader, id string) ([]logEntry, error) {
	var out []logEntry
	lines := newLineScanner(r)
	for lines.Scan() {
		line := lines.Text()
		start := strings.IndexByte(line, '{')
		if start < 0 || !strings.Contains(line, id) {
			continue
		}
		entry := logEntry{prefix: strings.TrimSpace(line[:start])}
		if json.Unmarshal([]byte(line[start:]), &entry.values) != nil {
			continue
		}
		entry.time, _ = entry.values["ts"].(string)
		out = append(out, entry)
	}
	if err := lines.Err(); err != nil {
		return nil, errors.Wrap(err, "cmds: explain")
	}
	return out, nil
}

// printEntries prints the entries in order of time.
func printEntries(w io.Writer, id string, found []logEntry) error {
	if len(found) == 0 {
		return errors.Errorf("cmds: explain: no log line contains %s", id)
	}
	sort.SliceStable(found, func(i, j int) bool { return found[i].time < found[j].time })
	for _, entry := range found {
		if _, err := fmt.Fprintln(w, entry.String()); err != nil {
			return errors.Wrap(err, "cmds: explain")
		}
	}
	return nil
}

// String formats an entry as time, prefix, message and the other fields sorted by name.
func (e logEntry) String() string {
	var names []string
	for name := range e.values {
		if name != "ts" && name != "msg" && name != "level" {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	var b strings.Builder
	b.WriteString(e.time)
	if e.prefix != "" {
		b.WriteString(" " + e.prefix)
	}
	_, _ = fmt.Fprintf(&b, " %v", e.values["msg"])
	for _, name := range names {
		_, _ = fmt.Fprintf(&b, "  %s=%v", name, e.values[name])
	}
	return b.String()
}
