package peer

import "github.com/VictoriaMetrics/metrics"

// meters are the metrics of a Hub.
type meters struct {
	sentBytes, heardBytes *metrics.Counter
	sent, heard           *metrics.Counter
	dropped, bad          *metrics.Counter
	dials, failed         *metrics.Counter
	forwarded, served     *metrics.Counter
	conns                 *metrics.Counter
}

func newMeters(set *metrics.Set) meters {
	if set == nil {
		set = metrics.NewSet()
	}
	return meters{
		sentBytes:  set.GetOrCreateCounter("fulmarwick_peer_sent_bytes_total"),
		heardBytes: set.GetOrCreateCounter("fulmarwick_peer_heard_bytes_total"),
		sent:       set.GetOrCreateCounter("fulmarwick_peer_sent_total"),
		heard:      set.GetOrCreateCounter("fulmarwick_peer_heard_total"),
		dropped:    set.GetOrCreateCounter("fulmarwick_peer_dropped_total"),
		bad:        set.GetOrCreateCounter("fulmarwick_peer_bad_total"),
		dials:      set.GetOrCreateCounter("fulmarwick_peer_dials_total"),
		failed:     set.GetOrCreateCounter("fulmarwick_peer_dials_failed_total"),
		forwarded:  set.GetOrCreateCounter("fulmarwick_peer_forwarded_total"),
		served:     set.GetOrCreateCounter("fulmarwick_peer_served_total"),
		conns:      set.GetOrCreateCounter("fulmarwick_peer_connections"),
	}
}
