package engine

import "github.com/VictoriaMetrics/metrics"

// meters holds the counters shared by all connections of a pool.
type meters struct {
	steps        *metrics.Counter
	stale        *metrics.Counter
	overflows    *metrics.Counter
	badFrames    *metrics.Counter
	dials        *metrics.Counter
	dialFailures *metrics.Counter
}

func newMeters(set *metrics.Set) *meters {
	if set == nil {
		set = metrics.NewSet()
	}
	return &meters{
		steps:        set.GetOrCreateCounter("fulmarwick_engine_steps_total"),
		stale:        set.GetOrCreateCounter("fulmarwick_engine_stale_frames_total"),
		overflows:    set.GetOrCreateCounter("fulmarwick_engine_overflows_total"),
		badFrames:    set.GetOrCreateCounter("fulmarwick_engine_bad_frames_total"),
		dials:        set.GetOrCreateCounter("fulmarwick_engine_dials_total"),
		dialFailures: set.GetOrCreateCounter("fulmarwick_engine_dial_failures_total"),
	}
}
