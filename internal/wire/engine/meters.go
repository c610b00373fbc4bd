package engine

import "github.com/VictoriaMetrics/metrics"

// meters are the counters of all connections of a pool.
type meters struct {
	steps  *metrics.Counter
	stale  *metrics.Counter
	missed *metrics.Counter
	bad    *metrics.Counter
	dials  *metrics.Counter
	failed *metrics.Counter
}

func newMeters(set *metrics.Set) *meters {
	if set == nil {
		set = metrics.NewSet()
	}
	return &meters{
		steps:  set.GetOrCreateCounter("fulmarwick_engine_steps_total"),
		stale:  set.GetOrCreateCounter("fulmarwick_engine_stale_frames_total"),
		missed: set.GetOrCreateCounter("fulmarwick_engine_overflows_total"),
		bad:    set.GetOrCreateCounter("fulmarwick_engine_bad_frames_total"),
		dials:  set.GetOrCreateCounter("fulmarwick_engine_dials_total"),
		failed: set.GetOrCreateCounter("fulmarwick_engine_dial_failures_total"),
	}
}
