package drive

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"
)

// Report holds the results that the callers of a run observed.
type Report struct {
	Classes []Row    `json:"classes"`
	Total   Row      `json:"total"`
	Seconds []Second `json:"seconds"`
}

// Row summarizes the requests of a class. Times are in milliseconds. Worth is
// the mean value of an answer: 1 within its target, Class.LateValue outside it and
// 0 if it was refused or failed.
type Row struct {
	Class    string  `json:"class"`
	Asked    int     `json:"asked"`
	InTarget int     `json:"in_target"`
	Late     int     `json:"late"`
	Refused  int     `json:"refused"`
	Failed   int     `json:"failed"`
	Worth    float64 `json:"worth"`
	FirstP50 float64 `json:"first_ms_p50"`
	FirstP99 float64 `json:"first_ms_p99"`
	PauseP50 float64 `json:"pause_ms_p50"`
	PauseP99 float64 `json:"pause_ms_p99"`
}

// Second summarizes the requests that were first sent within one second.
type Second struct {
	At       int     `json:"at"`
	Asked    int     `json:"asked"`
	Served   float64 `json:"served_share"`
	Worth    float64 `json:"worth"`
	FirstP50 float64 `json:"first_ms_p50"`
	FirstP99 float64 `json:"first_ms_p99"`
}

func (r *Run) report() Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out Report
	for i := range r.Workload.Classes {
		var answers []answer
		for _, a := range r.answers {
			if a.class == &r.Workload.Classes[i] {
				answers = append(answers, a)
			}
		}
		out.Classes = append(out.Classes, summarize(r.Workload.Classes[i].Name, answers))
	}
	out.Total = summarize("all", r.answers)
	for n := range int(r.Workload.Duration / time.Second) {
		out.Seconds = append(out.Seconds, summarizeSecond(n, r.answers))
	}
	return out
}

func summarize(name string, answers []answer) Row {
	out := Row{Class: name, Asked: len(answers)}
	var firsts, pauses []time.Duration
	for _, a := range answers {
		switch a.outcome {
		case OutcomeInTarget:
			out.InTarget++
			out.Worth++
		case OutcomeLate:
			out.Late++
			out.Worth += a.class.LateValue
		case OutcomeRefused:
			out.Refused++
			continue
		default:
			out.Failed++
			continue
		}
		firsts = append(firsts, a.first)
		if a.class.Prompt > 0 {
			pauses = append(pauses, a.longestGap)
		}
	}
	out.Worth /= float64(max(1, out.Asked))
	out.FirstP50, out.FirstP99 = quantile(firsts, 0.5), quantile(firsts, 0.99)
	out.PauseP50, out.PauseP99 = quantile(pauses, 0.5), quantile(pauses, 0.99)
	return out
}

func summarizeSecond(n int, answers []answer) Second {
	var matching []answer
	for _, a := range answers {
		if int(a.sentAt/time.Second) == n {
			matching = append(matching, a)
		}
	}
	r := summarize("", matching)
	return Second{
		At: n, Asked: r.Asked, Served: float64(r.InTarget+r.Late) / float64(max(1, r.Asked)), Worth: r.Worth, FirstP50: r.FirstP50, FirstP99: r.FirstP99,
	}
}

// quantile returns the q-quantile in milliseconds, or 0 if there are no values.
func quantile(values []time.Duration, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return float64(sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]) / float64(time.Millisecond)
}

// Table writes the report as an aligned text table.
func (r Report) Table(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(w, "class\tasked\tin target\tlate\trefused\tfailed\tworth\tfirst p50\tp99 ms\tpause p50\tp99 ms\t")
	for _, c := range append(slices.Clone(r.Classes), r.Total) {
		_, _ = fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%.3f\t%.1f\t%.1f\t%.1f\t%.1f\t\n",
			c.Class, c.Asked, c.InTarget, c.Late, c.Refused, c.Failed, c.Worth, c.FirstP50, c.FirstP99, c.PauseP50, c.PauseP99)
	}
	return w.Flush()
}

// JSON writes the report as indented JSON.
func (r Report) JSON(out io.Writer) error {
	e := json.NewEncoder(out)
	e.SetIndent("", "  ")
	return e.Encode(r)
}
