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
	return &cobra.Command{
		Use:   "explain ID [FILE ...]",
		Short: "Show the way of a request, or what is known of an engine, from logs",
		Long: `Explain reads the logs of instances, from files or standard input, and prints in
order of time every line that names ID: that of a request, an engine, an address
or an instance. Lines that are no JSON are passed over; a prefix before the
object, as log collectors add it, is kept.`,
		Example: "  fulmarwick explain 9c41d07be2a35f68 klang-1.log klang-2.log",
		Args:    cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			var found []tale
			if len(args) == 1 {
				var err error
				if found, err = tales(cmd.InOrStdin(), args[0]); err != nil {
					return err
				}
			}
			for _, name := range args[1:] {
				more, err := talesOf(name, args[0])
				if err != nil {
					return err
				}
				found = append(found, more...)
			}
			return tell(cmd.OutOrStdout(), args[0], found)
		},
	}
}

// tale is one line that names what is asked for.
type tale struct {
	at     string
	prefix string
	values map[string]any
}

// maxLine bounds a line of a log in bytes.
const maxLine = 1 << 20

func talesOf(name, id string) ([]tale, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, errors.Wrap(err, "cmds: explain")
	}
	defer func() { _ = f.Close() }()
	return tales(f, id)
}

// tales are the lines of a log that name id.
func tales(r io.Reader, id string) ([]tale, error) {
	var out []tale
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLine)
	for lines.Scan() {
		line := lines.Text()
		at := strings.IndexByte(line, '{')
		if at < 0 || !strings.Contains(line, id) {
			continue
		}
		t := tale{prefix: strings.TrimSpace(line[:at])}
		if json.Unmarshal([]byte(line[at:]), &t.values) != nil {
			continue
		}
		t.at, _ = t.values["ts"].(string)
		out = append(out, t)
	}
	if err := lines.Err(); err != nil {
		return nil, errors.Wrap(err, "cmds: explain")
	}
	return out, nil
}

// tell prints lines in order of their time.
func tell(w io.Writer, id string, found []tale) error {
	if len(found) == 0 {
		return errors.Errorf("cmds: explain: no line names %s", id)
	}
	sort.SliceStable(found, func(i, j int) bool { return found[i].at < found[j].at })
	for _, t := range found {
		if _, err := fmt.Fprintln(w, t.String()); err != nil {
			return errors.Wrap(err, "cmds: explain")
		}
	}
	return nil
}

// String writes a line as time, message and the other fields by name.
func (t tale) String() string {
	var names []string
	for name := range t.values {
		if name != "ts" && name != "msg" && name != "level" {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	var b strings.Builder
	b.WriteString(t.at)
	if t.prefix != "" {
		b.WriteString(" " + t.prefix)
	}
	_, _ = fmt.Fprintf(&b, " %v", t.values["msg"])
	for _, name := range names {
		_, _ = fmt.Fprintf(&b, "  %s=%v", name, t.values[name])
	}
	return b.String()
}
