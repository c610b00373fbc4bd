package cmds

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// lossInterval is the span of time that one row of the table covers: a death is
// found and mended in less, and a minute has few enough rows to read.
const lossInterval = 2 * time.Second

// lossLine is what the table of losses takes from a line of a log.
type lossLine struct {
	Time     time.Time `json:"ts"`
	Message  string    `json:"msg"`
	Route    string    `json:"route"`
	Team     string    `json:"team"`
	Centre   string    `json:"centre"`
	Reason   string    `json:"reason"`
	Target   int64     `json:"target"`
	First    int64     `json:"first"`
	PausedAt int64     `json:"pause at"`
	Took     int64     `json:"took"`
	Shortage *struct {
		Layer int `json:"layer"`
	} `json:"room"`
	Engine   string `json:"engine"`
	Repathed int    `json:"repathed"`
	Resumed  int    `json:"resumed"`
	Kept     int    `json:"kept"`
}

// losses is a table of what was not served in time.
type losses struct {
	// served, why and engines are by slice of time, of the whole log by name.
	served      map[time.Time]int
	reasons     map[time.Time]map[string]int
	deadEngines map[time.Time][]string
	shortages   map[time.Time]map[int]int
	groups      map[string]map[string]map[string]int
}

// kinds of rows below the slices of time.
var groupKinds = []string{"route", "team", "data centre"}

func newLosses() *losses {
	l := &losses{
		served: map[time.Time]int{}, reasons: map[time.Time]map[string]int{}, deadEngines: map[time.Time][]string{},
		shortages: map[time.Time]map[int]int{}, groups: map[string]map[string]map[string]int{},
	}
	for _, kind := range groupKinds {
		l.groups[kind] = map[string]map[string]int{}
	}
	return l
}

// addLine takes a line of a log; those that tell of no loss are passed over.
func (l *losses) addLine(line lossLine) {
	at := line.Time.Truncate(lossInterval)
	switch line.Message {
	case "edge: request served":
		l.served[at]++
	case "edge: request not served":
		l.countLoss(at, line, line.Reason)
		if line.Shortage != nil {
			countLayer(l.shortages, at, line.Shortage.Layer)
		}
	case "edge: request turned away":
		l.countReason(at, line.Reason, 1)
	case "edge: answer late":
		if line.First > line.Target {
			l.countLoss(at, line, "late first event")
			return
		}
		// The pause counts where it was, not where the answer ended.
		start := line.Time.Add(-time.Duration(line.Took) * time.Millisecond)
		l.countLoss(start.Add(time.Duration(line.PausedAt)*time.Millisecond).Truncate(lossInterval), line, "late by a pause")
	case "edge: engine does not answer":
		if name := line.Engine + " dead"; !slices.Contains(l.deadEngines[at], name) {
			l.deadEngines[at] = append(l.deadEngines[at], name)
		}
	case "edge: engine left":
		l.countMoves(at, line)
	}
}

func countLayer(m map[time.Time]map[int]int, at time.Time, key int) {
	if m[at] == nil {
		m[at] = map[int]int{}
	}
	m[at][key]++
}

func (l *losses) countMoves(at time.Time, line lossLine) {
	for how, n := range map[string]int{"moved by another path": line.Repathed, "moved by another run": line.Resumed, "could not move": line.Kept} {
		if n > 0 {
			l.countReason(at, how, n)
		}
	}
}

func (l *losses) countReason(at time.Time, why string, n int) {
	if l.reasons[at] == nil {
		l.reasons[at] = map[string]int{}
	}
	l.reasons[at][why] += n
}

func (l *losses) countLoss(at time.Time, line lossLine, why string) {
	l.countReason(at, why, 1)
	for i, name := range []string{line.Route, line.Team, line.Centre} {
		rows := l.groups[groupKinds[i]]
		if rows[name] == nil {
			rows[name] = map[string]int{}
		}
		rows[name][why]++
	}
}

// read takes the lines of a log.
func (l *losses) read(r io.Reader) error {
	lines := newLineScanner(r)
	for lines.Scan() {
		text := lines.Text()
		at := strings.IndexByte(text, '{')
		if at < 0 {
			continue
		}
		var line lossLine
		if json.Unmarshal([]byte(text[at:]), &line) != nil {
			continue
		}
		l.addLine(line)
	}
	if err := lines.Err(); err != nil {
		return errors.Wrap(err, "cmds: losses")
	}
	return nil
}

// write prints the table.
func (l *losses) write(w io.Writer) error {
	var b strings.Builder
	times := map[time.Time]bool{}
	for at := range l.served {
		times[at] = true
	}
	for at := range l.reasons {
		times[at] = true
	}
	sorted := slices.SortedFunc(maps.Keys(times), time.Time.Compare)
	for _, at := range sorted {
		_, _ = fmt.Fprintf(&b, "%s  served %d%s%s", at.Format("15:04:05"), l.served[at], formatCounts(l.reasons[at]), l.scarcestLayer(at))
		if len(l.deadEngines[at]) > 0 {
			_, _ = fmt.Fprintf(&b, "  [%s]", strings.Join(l.deadEngines[at], ", "))
		}
		b.WriteByte('\n')
	}
	for _, kind := range groupKinds {
		for _, name := range slices.Sorted(maps.Keys(l.groups[kind])) {
			_, _ = fmt.Fprintf(&b, "%s %s%s\n", kind, name, formatCounts(l.groups[kind][name]))
		}
	}
	if _, err := io.WriteString(w, b.String()); err != nil {
		return errors.Wrap(err, "cmds: losses")
	}
	return nil
}

// formatCounts writes counts by name, the most frequent first.
func formatCounts(counts map[string]int) string {
	names := slices.Sorted(maps.Keys(counts))
	slices.SortStableFunc(names, func(a, b string) int { return counts[b] - counts[a] })
	var b strings.Builder
	for _, name := range names {
		_, _ = fmt.Fprintf(&b, "  %s %d", name, counts[name])
	}
	return b.String()
}

// scarcestLayer names the layer behind which room was lacking most often.
func (l *losses) scarcestLayer(at time.Time) string {
	most, layer := 0, 0
	for key, n := range l.shortages[at] {
		if n > most || n == most && key < layer {
			most, layer = n, key
		}
	}
	if most == 0 {
		return ""
	}
	return fmt.Sprintf("  scarcest layer %d", layer)
}
