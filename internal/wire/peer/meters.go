package peer

import (
	"fulmarwick/internal/fleet/node"

	"github.com/VictoriaMetrics/metrics"
)

// meters holds the metrics of a Hub.
type meters struct {
	sentBytes, receivedBytes *metrics.Counter
	sent, received           *metrics.Counter
	dropped, bad             *metrics.Counter
	dials, failed            *metrics.Counter
	forwarded, served        *metrics.Counter
	conns                    *metrics.Counter
	fleet                    fleetMeters
}

func newMeters(set *metrics.Set) meters {
	if set == nil {
		set = metrics.NewSet()
	}
	return meters{
		sentBytes:     set.GetOrCreateCounter("fulmarwick_peer_sent_bytes_total"),
		receivedBytes: set.GetOrCreateCounter("fulmarwick_peer_heard_bytes_total"),
		sent:          set.GetOrCreateCounter("fulmarwick_peer_sent_total"),
		received:      set.GetOrCreateCounter("fulmarwick_peer_heard_total"),
		dropped:       set.GetOrCreateCounter("fulmarwick_peer_dropped_total"),
		bad:           set.GetOrCreateCounter("fulmarwick_peer_bad_total"),
		dials:         set.GetOrCreateCounter("fulmarwick_peer_dials_total"),
		failed:        set.GetOrCreateCounter("fulmarwick_peer_dials_failed_total"),
		forwarded:     set.GetOrCreateCounter("fulmarwick_peer_forwarded_total"),
		served:        set.GetOrCreateCounter("fulmarwick_peer_served_total"),
		conns:         set.GetOrCreateCounter("fulmarwick_peer_connections"),
		fleet:         newFleetMeters(set),
	}
}

// statsLogic is a Logic that provides counts of its events.
type statsLogic interface {
	Stats() node.Stats
}

// fleetMeters holds the metrics of the fleet logic.
type fleetMeters struct {
	suspected, bad, pauses, refused *metrics.Counter
	items, members                  *metrics.Counter
}

func newFleetMeters(set *metrics.Set) fleetMeters {
	return fleetMeters{
		suspected: set.GetOrCreateCounter("fulmarwick_fleet_suspected_total"),
		bad:       set.GetOrCreateCounter("fulmarwick_fleet_bad_total"),
		pauses:    set.GetOrCreateCounter("fulmarwick_fleet_pauses_total"),
		refused:   set.GetOrCreateCounter("fulmarwick_fleet_refused_total"),
		items:     set.GetOrCreateCounter("fulmarwick_fleet_items"),
		members:   set.GetOrCreateCounter("fulmarwick_fleet_members"),
	}
}

// update copies the counts of the logic. It must be called on the goroutine
// that ticks the logic.
func (m *fleetMeters) update(logic Logic) {
	c, ok := logic.(statsLogic)
	if !ok {
		return
	}
	s := c.Stats()
	m.suspected.Set(s.Suspected)
	m.bad.Set(s.Malformed)
	m.pauses.Set(s.Pauses)
	m.refused.Set(uint64(max(0, s.Refused)))
	m.items.Set(uint64(max(0, s.Items)))
}
