package chain

import "github.com/VictoriaMetrics/metrics"

// meters holds the counters shared by all runs of a Runner.
type meters struct {
	steps      *metrics.Counter
	tokens     *metrics.Counter
	stale      *metrics.Counter
	resends    *metrics.Counter
	reconnects *metrics.Counter
	rebuilds   *metrics.Counter
	moves      *metrics.Counter
	lost       *metrics.Counter
}

func newMeters(set *metrics.Set) *meters {
	if set == nil {
		set = metrics.NewSet()
	}
	return &meters{
		steps:      set.GetOrCreateCounter("fulmarwick_chain_steps_total"),
		tokens:     set.GetOrCreateCounter("fulmarwick_chain_tokens_total"),
		stale:      set.GetOrCreateCounter("fulmarwick_chain_stale_frames_total"),
		resends:    set.GetOrCreateCounter("fulmarwick_chain_resends_total"),
		reconnects: set.GetOrCreateCounter("fulmarwick_chain_reconnects_total"),
		rebuilds:   set.GetOrCreateCounter("fulmarwick_chain_rebuilds_total"),
		moves:      set.GetOrCreateCounter("fulmarwick_chain_kv_moves_total"),
		lost:       set.GetOrCreateCounter("fulmarwick_chain_stages_lost_total"),
	}
}
