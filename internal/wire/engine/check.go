package engine

import (
	"time"

	"fulmarwick/internal/base/frame"
	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/domain"

	"github.com/go-faster/errors"
)

// Bounds of what an engine may say about itself. They are far above any real
// engine; a value beyond them would overflow or starve the decisions, so the
// whole report is refused and the former one stays in force.
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
		return errors.Wrapf(ErrBody, "state %.20q", b.State)
	}
	if tooLong(b.Name, b.DataCentre, b.Kind, b.Role) {
		return errors.Wrap(ErrBody, "name too long")
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
			return errors.Wrapf(ErrBody, "%s is %d", n.name, n.value)
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

// checkHolds refuses ranges that are empty, outside their model, or overlap
// within one version: a layer that is held twice by one engine would be
// counted twice.
func checkHolds(holds []frame.Hold) error {
	if len(holds) > maxHolds {
		return errors.Wrapf(ErrBody, "%d ranges", len(holds))
	}
	for i, h := range holds {
		switch {
		case h.Model == "" || tooLong(h.Model, h.Version):
			return errors.Wrapf(ErrBody, "range %d has no model or a long name", i)
		case h.From < 0 || h.From >= h.To || h.To > h.Depth || h.Depth > maxLayers:
			return errors.Wrapf(ErrBody, "range %d is %d-%d of %d", i, h.From, h.To, h.Depth)
		case h.Width < 0 || h.Width > maxWidth:
			return errors.Wrapf(ErrBody, "range %d has width %d", i, h.Width)
		case overlaps(holds[:i], h):
			return errors.Wrapf(ErrBody, "range %d overlaps another", i)
		}
	}
	return nil
}

func overlaps(others []frame.Hold, h frame.Hold) bool {
	for _, o := range others {
		if o.Model == h.Model && o.Version == h.Version && o.From < h.To && h.From < o.To {
			return true
		}
	}
	return false
}

// checkEvents refuses events that do not rise from since to the page's Seq.
func checkEvents(b *frame.Events, since uint64) error {
	if b.Reset {
		return nil
	}
	last := since
	for _, ev := range b.Events {
		if ev.Seq <= last || ev.Seq > b.Seq {
			return errors.Wrapf(ErrBody, "event %d after %d of %d", ev.Seq, last, b.Seq)
		}
		last = ev.Seq
	}
	return nil
}

// Row turns a checked report into a row of the world.
func Row(id spec.UpstreamID, b frame.Engine) domain.Engine {
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

// Seen turns a page of cache events into events for the logic, one per Seq,
// so that the logic sees each gap.
func Seen(id spec.UpstreamID, page frame.Events) []domain.CacheReport {
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
