package engine

import (
	"time"

	"fulmarwick/internal/base/frame"
	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/domain"

	"github.com/go-faster/errors"
)

// Bounds on the values that an engine may report. They are far above the
// values of any real engine. A larger value would overflow or starve the
// routing decisions, so the whole report is rejected and the previous one
// stays in effect.
const (
	maxHolds     = 256
	maxLayers    = 1 << 12
	maxWidth     = 1 << 24
	maxSlots     = 1 << 16
	maxCount     = 1 << 31
	maxNameLen   = 256
	maxLayerTime = int64(time.Minute)
	maxLink      = int64(time.Minute / time.Microsecond)
	maxBandwidth = int64(1) << 50
)

func checkEngine(b *frame.Engine) error {
	if b.State != frame.StateLive && b.State != frame.StateLeaving {
		return errors.Wrapf(ErrInvalidResponse, "unknown state %.20q", b.State)
	}
	if tooLong(b.Name, b.DataCentre, b.Kind, b.Role) {
		return errors.Wrap(ErrInvalidResponse, "name too long")
	}
	numbers := []struct {
		name   string
		value  int64
		bounds int64
	}{
		{"layer", b.Layer, maxLayerTime},
		{"slots", int64(b.Slots), maxSlots},
		{"memory", int64(b.Memory), maxCount},
		{"cache", int64(b.Cache), maxCount},
		{"cached", int64(b.Cached), maxCount},
		{"queued", int64(b.Queued), maxCount},
		{"active", int64(b.Active), maxCount},
		{"link", b.Link, maxLink},
		{"bandwidth", b.Bandwidth, maxBandwidth},
	}
	for _, n := range numbers {
		if n.value < 0 || n.value > n.bounds {
			return errors.Wrapf(ErrInvalidResponse, "%s %d is out of range", n.name, n.value)
		}
	}
	return checkHolds(b.Holds)
}

func tooLong(names ...string) bool {
	for _, n := range names {
		if len(n) > maxNameLen {
			return true
		}
	}
	return false
}

// checkHolds rejects ranges that are empty, exceed their model, or overlap
// within one version. A layer that one engine reports twice would be counted
// twice.
func checkHolds(holds []frame.LoadedLayers) error {
	if len(holds) > maxHolds {
		return errors.Wrapf(ErrInvalidResponse, "too many layer ranges: %d", len(holds))
	}
	for i, h := range holds {
		switch {
		case h.Model == "" || tooLong(h.Model, h.Version):
			return errors.Wrapf(ErrInvalidResponse, "range %d has no model or a name that is too long", i)
		case h.From < 0 || h.From >= h.To || h.To > h.Depth || h.Depth > maxLayers:
			return errors.Wrapf(ErrInvalidResponse, "range %d is invalid: layers %d-%d of %d", i, h.From, h.To, h.Depth)
		case h.Width < 0 || h.Width > maxWidth:
			return errors.Wrapf(ErrInvalidResponse, "range %d has invalid width %d", i, h.Width)
		case overlaps(holds[:i], h):
			return errors.Wrapf(ErrInvalidResponse, "range %d overlaps another range", i)
		}
	}
	return nil
}

func overlaps(others []frame.LoadedLayers, h frame.LoadedLayers) bool {
	for _, o := range others {
		if o.Model == h.Model && o.Version == h.Version && o.From < h.To && h.From < o.To {
			return true
		}
	}
	return false
}

// checkEvents rejects events whose Seq does not increase, starting above
// since, up to the Seq of the page.
func checkEvents(b *frame.Events, since uint64) error {
	if b.Reset {
		return nil
	}
	last := since
	for _, ev := range b.Events {
		if ev.Seq <= last || ev.Seq > b.Seq {
			return errors.Wrapf(ErrInvalidResponse, "event %d must be above %d and at most %d", ev.Seq, last, b.Seq)
		}
		last = ev.Seq
	}
	return nil
}

// ToEngine converts a checked report to the engine type of the routing logic.
func ToEngine(id spec.UpstreamID, b frame.Engine) domain.Engine {
	row := domain.Engine{
		ID: id, DataCentre: spec.DataCentre(b.DataCentre), Kind: b.Kind,
		LayerTime: time.Duration(b.Layer), Slots: b.Slots, LayerCapacity: b.Memory,
		KVCapacity: b.Cache, KVUsed: b.Cached, Queued: b.Queued, Active: b.Active,
		ReportedHopTime: time.Duration(b.Link) * time.Microsecond, Bandwidth: b.Bandwidth, Incarnation: b.Incarnation, Seq: b.Seq,
	}
	for _, h := range b.Holds {
		row.Loaded = append(row.Loaded, domain.LoadedRange{
			Model: spec.ModelName(h.Model), Version: h.Version, Depth: h.Depth,
			Layers: spec.NewLayers(h.From, h.To), Width: h.Width,
		})
	}
	return row
}

// ToCacheReports converts a page of cache events to events of the routing logic, one per
// Seq, so that the routing logic detects each gap.
func ToCacheReports(id spec.UpstreamID, page frame.Events) []domain.CacheReport {
	if page.Reset {
		return []domain.CacheReport{{Engine: id, Seq: page.Seq, Added: page.Blocks, Reset: true}}
	}
	out := make([]domain.CacheReport, 0, len(page.Events))
	for _, ev := range page.Events {
		seen := domain.CacheReport{Engine: id, Seq: ev.Seq}
		if ev.Added {
			seen.Added = []uint64{ev.Block}
		} else {
			seen.Removed = []uint64{ev.Block}
		}
		out = append(out, seen)
	}
	return out
}
