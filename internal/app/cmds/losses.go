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

// lossInterval is the time that one row of the table covers. The death of an engine is
// detected and repaired in less time, and a minute has few enough rows to read.
const lossInterval = 2 * time.Second

// lossLine contains the fields of a log line that the table of losses uses.
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

// losses is a table of the requests that were not served in time.
type losses struct {
	// served counts the requests served in each interval.
	served map[time.Time]int
	// reasons counts, for each interval, the lost or late requests by reason and the
	// runs that left a dead engine by outcome.
	reasons map[time.Time]map[string]int
	// deadEngines lists the engines found dead in each interval.
	deadEngines map[time.Time][]string
	// shortages counts, for each interval, the requests rejected for lack of KV memory
	// by the layer that had the least.
	shortages map[time.Time]map[int]int
	// groups counts the requests of the whole log by group kind, name and reason.
	groups map[string]map[string]map[string]int
}

// groupKinds are the kinds of the rows that follow the intervals.
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

// addLine counts a log line and ignores lines with other messages.
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
		// Count the pause in the interval in which it began, not in the one in which
		// the answer ended.
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

// countLayer increments the count of layer in the interval at.
func countLayer(counts map[time.Time]map[int]int, at time.Time, layer int) {
	if counts[at] == nil {
		counts[at] = map[int]int{}
	}
	counts[at][layer]++
}

// countMoves counts the runs that left a dead engine, by how they were moved.
func (l *losses) countMoves(at time.Time, line lossLine) {
	for outcome, n := range map[string]int{"moved by another path": line.Repathed, "moved by another run": line.Resumed, "could not move": line.Kept} {
		if n > 0 {
			l.countReason(at, outcome, n)
		}
	}
}

// countReason adds n to the count of reason in the interval at.
func (l *losses) countReason(at time.Time, reason string, n int) {
	if l.reasons[at] == nil {
		l.reasons[at] = map[string]int{}
	}
	l.reasons[at][reason] += n
}

// countLoss counts a lost or late request in the interval at and in its groups.
func (l *losses) countLoss(at time.Time, line lossLine, reason string) {
	l.countReason(at, reason, 1)
	for i, name := range []string{line.Route, line.Team, line.Centre} {
		rows := l.groups[groupKinds[i]]
		if rows[name] == nil {
			rows[name] = map[string]int{}
		}
		rows[name][reason]++
	}
}

// read counts the lines of a log.
func (l *losses) read(r io.Reader) error {
	lines := newLineScanner(r)
	for lines.Scan() {
		text := lines.Text()
		start := strings.IndexByte(text, '{')
		if start < 0 {
			continue
		}
		var line lossLine
		if json.Unmarshal([]byte(text[start:]), &line) != nil {
			continue
		}
		l.addLine(line)
	}
	if err := lines.Err(); err != nil {
		return errors.Wrap(err, "cmds: losses")
	}
	return nil
}

// write prints the table to w.
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

// formatCounts formats counts by name, with the most frequent first.
func formatCounts(counts map[string]int) string {
	names := slices.Sorted(maps.Keys(counts))
	slices.SortStableFunc(names, func(a, b string) int { return counts[b] - counts[a] })
	var b strings.Builder
	for _, name := range names {
		_, _ = fmt.Fprintf(&b, "  %s %d", name, counts[name])
	}
	return b.String()
}

// scarcestLayer formats the layer that most often had the least KV memory, for a row of
// the table.
func (l *losses) scarcestLayer(at time.Time) string {
	most, layer := 0, 0
	for candidate, n := range l.shortages[at] {
		if n > most || n == most && candidate < layer {
			most, layer = n, candidate
		}
	}
	if most == 0 {
		return ""
	}
	return fmt.Sprintf("  scarcest layer %d", layer)
}
