package drive

import (
	"io"

	"github.com/go-faster/errors"
	"github.com/wcharczuk/go-chart/v2"
)

// Plot draws the time to the first event and the share of served requests over
// time as SVG.
func (r Report) Plot(out io.Writer) error {
	if len(r.Seconds) < 2 {
		return errors.New("drive: plot: report covers fewer than two seconds")
	}
	var at, p50, p99, served []float64
	for _, s := range r.Seconds {
		at = append(at, float64(s.At))
		p50 = append(p50, s.FirstP50)
		p99 = append(p99, s.FirstP99)
		served = append(served, 100*s.Served)
	}
	// An axis whose values are all equal cannot be drawn without an explicit
	// range.
	share := chart.YAxis{Name: "served, %", Range: &chart.ContinuousRange{Min: 0, Max: 105}}
	graph := chart.Chart{
		Width: 1000, Height: 420,
		XAxis:          chart.XAxis{Name: "second"},
		YAxis:          chart.YAxis{Name: "first event, ms", Range: &chart.ContinuousRange{Min: 0, Max: 1.05 * max(1, maxValue(p99))}},
		YAxisSecondary: share,
		Series: []chart.Series{
			chart.ContinuousSeries{Name: "p50", XValues: at, YValues: p50},
			chart.ContinuousSeries{Name: "p99", XValues: at, YValues: p99},
			chart.ContinuousSeries{Name: "served", XValues: at, YValues: served, YAxis: chart.YAxisSecondary},
		},
	}
	graph.Elements = []chart.Renderable{chart.LegendThin(&graph)}
	if err := graph.Render(chart.SVG, out); err != nil {
		return errors.Wrap(err, "drive: plot")
	}
	return nil
}

func maxValue(values []float64) float64 {
	maximum := 0.0
	for _, value := range values {
		maximum = max(maximum, value)
	}
	return maximum
}
