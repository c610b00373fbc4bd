package daemon

import (
	"context"
	"strconv"
	"time"

	"fulmarwick/internal/base/news"
	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/domain"

	"go.uber.org/zap"
)

const (
	// versionInterval is the time between two announcements of the active
	// configuration version.
	versionInterval = 20 * time.Second
	// versionTTL is how long an announced version stays valid.
	versionTTL = time.Minute
	// suspectTTL is how long the fingerprint of a suspect request stays valid
	// at the peers.
	suspectTTL  = 10 * time.Minute
	capacityTTL = 10 * time.Second
	loadTTL     = 10 * time.Second
)

// handleRouteCommand executes the commands of the routing logic that no request
// waits for. It runs between ticks and must not block.
func (d *Daemon) handleRouteCommand(c domain.Command) {
	if c, ok := c.(domain.LoadLayers); ok {
		d.parts.duties.queuePlan(c)
		return
	}
	if d.parts.fleet == nil {
		return
	}
	if item, ok := d.itemFor(c); ok {
		d.parts.fleet.hub.Publish(item)
	}
}

// itemFor returns the news item that announces a command to the peers. It
// returns false if the command is not announced.
func (d *Daemon) itemFor(c domain.Command) (news.Item, bool) {
	switch c := c.(type) {
	case domain.LocalLoad:
		body := news.Load{Engine: string(c.Engine), Active: c.Active, Tokens: c.LayerTokenRate}
		return d.newItem(news.KindLoad, string(c.Engine), news.ScopeCentre, loadTTL, body)
	case domain.LocalTeamUsage:
		body := news.Rate{Team: string(c.Team), Rate: c.Rate}
		return d.newItem(news.KindRate, string(c.Team), news.ScopeFleet, loadTTL, body)
	case domain.LocalCapacity:
		body := news.FreeCapacity{DataCentre: d.localSpan(), Model: string(c.Model), Free: c.FreeRate}
		return d.newItem(news.KindSum, string(c.Model), news.ScopeFleet, capacityTTL, body)
	case domain.ReportSuspect:
		key := strconv.FormatUint(c.Fingerprint, 16)
		return d.newItem(news.KindPrint, key, news.ScopeFleet, suspectTTL, news.Fingerprint{Fingerprint: c.Fingerprint, Crashes: c.Crashes, LastEngine: string(c.Engine)})
	}
	return news.Item{}, false
}

func (d *Daemon) newItem(kind news.Kind, key string, scope news.Scope, life time.Duration, body any) (news.Item, bool) {
	item, err := news.New(kind, key, scope, life.Milliseconds(), body)
	if err != nil {
		d.Log.Warn("daemon: encode news item failed, item dropped", zap.Stringer("kind", kind), zap.Error(err))
		return news.Item{}, false
	}
	return item, true
}

// handleItem applies an item received from a peer.
func (f *fleet) handleItem(item news.Item) {
	switch item.Kind {
	case news.KindHead:
		var b news.Head
		if news.Decode(item, &b) == nil && f.parts.follower != nil {
			f.parts.follower.NotifyVersion(b.Version)
		}
	case news.KindPrint:
		var b news.Fingerprint
		if news.Decode(item, &b) == nil {
			f.parts.loop.Post(domain.SuspectReported{Fingerprint: b.Fingerprint, Crashes: b.Crashes, Engine: spec.UpstreamID(b.LastEngine)})
		}
	case news.KindSum:
		var b news.FreeCapacity
		if news.Decode(item, &b) == nil && b.DataCentre != f.localSpan() {
			f.parts.loop.Post(domain.CentreCapacity{
				DataCentre: spec.DataCentre(b.DataCentre), Model: spec.ModelName(b.Model),
				Instance: spec.InstanceID(item.Origin), FreeRate: b.Free,
			})
		}
	default:
		f.parts.watcher.HandleItem(item)
	}
}

// announceVersions announces the active configuration version to the peers,
// periodically and immediately after each change.
func (f *fleet) announceVersions(ctx context.Context) error {
	ticker := time.NewTicker(versionInterval)
	defer ticker.Stop()
	for {
		f.announceVersion()
		select {
		case <-ctx.Done():
			return nil
		case <-f.parts.versionChanged:
		case <-ticker.C:
		}
	}
}

func (f *fleet) announceVersion() {
	current := f.parts.active.Snapshot()
	if current == nil {
		return
	}
	if item, ok := f.newItem(news.KindHead, "head", news.ScopeFleet, versionTTL, news.Head{Version: current.Version()}); ok {
		f.hub.Publish(item)
	}
}
