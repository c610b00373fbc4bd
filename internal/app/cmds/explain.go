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
	var all bool
	c := &cobra.Command{
		Use:   "explain ID [FILE ...]",
		Short: "Show the way of a request, or what is known of an engine, from logs",
		Long: `Explain reads the logs of instances, from files or standard input, and prints in
order of time every line that names ID: that of a request, an engine, an address
or an instance. Lines that are no JSON are passed over; a prefix before the
object, as log collectors add it, is kept.

With --losses it takes no ID and prints a table instead: for each two seconds how
many requests were served, and how many were not or came late for which reason,
with the engines that died, how runs left them, and the scarcest layer; then the
same by route, team and data centre. Callers that come back are counted like new
ones: a request tells nothing of the one before it.`,
		Example: "  fulmarwick explain 9c41d07be2a35f68 klang-1.log klang-2.log\n  fulmarwick explain --losses klang-1.log klang-2.log",
		Args: func(_ *cobra.Command, args []string) error {
			if !all && len(args) == 0 {
				return errors.New("cmds: explain: an ID is needed, or --losses")
			}
			return nil
		},
		RunE: func(cmd *cobra.Command, args []string) error {
			if all {
				return explainLosses(cmd, args)
			}
			return explainID(cmd, args[0], args[1:])
		},
	}
	c.Flags().BoolVar(&all, "losses", false, "print a table of what was not served in time")
	return c
}

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

func explainLosses(cmd *cobra.Command, names []string) error {
	l := newLosses()
	if err := readLogs(cmd, names, l.read); err != nil {
		return err
	}
	return l.write(cmd.OutOrStdout())
}

// readLogs reads files, or standard input where none is named.
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

// logEntry is one line that names what is asked for.
type logEntry struct {
	time   string
	prefix string
	values map[string]any
}

// maxLine bounds a line of a log in bytes.
const maxLine = 1 << 20

func newLineScanner(r io.Reader) *bufio.Scanner {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLine)
	return lines
}

// matchingEntries are the lines of a log that name id.
func matchingEntries(r io.Reader, id string) ([]logEntry, error) {
	var out []logEntry
	lines := newLineScanner(r)
	for lines.Scan() {
		line := lines.Text()
		at := strings.IndexByte(line, '{')
		if at < 0 || !strings.Contains(line, id) {
			continue
		}
		t := logEntry{prefix: strings.TrimSpace(line[:at])}
		if json.Unmarshal([]byte(line[at:]), &t.values) != nil {
			continue
		}
		t.time, _ = t.values["ts"].(string)
		out = append(out, t)
	}
	if err := lines.Err(); err != nil {
		return nil, errors.Wrap(err, "cmds: explain")
	}
	return out, nil
}

// printEntries prints lines in order of their time.
func printEntries(w io.Writer, id string, found []logEntry) error {
	if len(found) == 0 {
		return errors.Errorf("cmds: explain: no line names %s", id)
	}
	sort.SliceStable(found, func(i, j int) bool { return found[i].time < found[j].time })
	for _, t := range found {
		if _, err := fmt.Fprintln(w, t.String()); err != nil {
			return errors.Wrap(err, "cmds: explain")
		}
	}
	return nil
}

// String writes a line as time, message and the other fields by name.
func (t logEntry) String() string {
	var names []string
	for name := range t.values {
		if name != "ts" && name != "msg" && name != "level" {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	var b strings.Builder
	b.WriteString(t.time)
	if t.prefix != "" {
		b.WriteString(" " + t.prefix)
	}
	_, _ = fmt.Fprintf(&b, " %v", t.values["msg"])
	for _, name := range names {
		_, _ = fmt.Fprintf(&b, "  %s=%v", name, t.values[name])
	}
	return b.String()
}
