package daemon

import (
	"context"
	"fmt"
	"io"
	"time"

	"fulmarwick/internal/wire/admin"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"
)

// gaugeTimeout bounds how long a scrape waits for the routing logic.
const gaugeTimeout = time.Second

// gauges writes the values of the status as metrics at each scrape. An engine
// or class that no longer exists leaves no stale metric behind.
func (d *Daemon) gauges(w io.Writer) {
	ctx, cancel := context.WithTimeout(context.Background(), gaugeTimeout)
	defer cancel()
	s, err := d.Status(ctx)
	if err != nil {
		d.Log.Warn("daemon: gauges skipped, routing logic did not respond", zap.Error(err))
		return
	}
	gauge(w, "ready", "", boolValue(s.Ready))
	gauge(w, "stopping", "", boolValue(s.Stopping))
	gauge(w, "configuration_version", "", float64(s.Version))
	gauge(w, "leaving", "", float64(len(s.Leaving)))
	if p := s.Placement; p != nil {
		gauge(w, "placement_part", "", p.Part)
		gauge(w, "placement_target", "", p.Target)
		gauge(w, "placement_missing", "", float64(p.Missing))
		gauge(w, "placement_stuck", "", float64(p.Stuck))
	}
	for _, c := range s.Classes {
		label := fmt.Sprintf("{class=%q}", c.Name)
		gauge(w, "target_percent", label, c.Percent)
		gauge(w, "target_attained_percent", label, c.Attained)
		gauge(w, "target_answered_percent", label, c.Answered)
	}
	for i := range s.Engines {
		engineGauges(w, &s.Engines[i])
	}
}

func engineGauges(w io.Writer, e *admin.Engine) {
	label := fmt.Sprintf("{engine=%q,kind=%q,datacentre=%q,state=%q}", e.Name, e.Kind, e.DataCentre, e.State)
	gauge(w, "engine_use", label, e.Use)
	gauge(w, "engine_active", label, float64(e.Active))
	gauge(w, "engine_queued", label, float64(e.Queued))
	gauge(w, "engine_slots", label, float64(e.Slots))
}

func gauge(w io.Writer, name, label string, value float64) {
	metrics.WriteGaugeFloat64(w, "fulmarwick_"+name+label, value)
}

func boolValue(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
