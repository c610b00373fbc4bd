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
	// headEvery is the time between two tellings of the version in force; an
	// item counts for headLife.
	headEvery = 20 * time.Second
	headLife  = time.Minute
	// printLife is how long a fingerprint counts at the others.
	printLife = 10 * time.Minute
	sumLife   = 10 * time.Second
	loadLife  = 10 * time.Second
)

// told takes the commands of the routing logic that no request waits for. It
// runs between ticks and must not block.
func (d *Daemon) told(c domain.Command) {
	if c, ok := c.(domain.LoadLayers); ok {
		d.parts.duties.place(c)
		return
	}
	if d.parts.fleet == nil {
		return
	}
	if item, ok := d.item(c); ok {
		d.parts.fleet.hub.Say(item)
	}
}

// item is what the others should know of a command.
func (d *Daemon) item(c domain.Command) (news.Item, bool) {
	switch c := c.(type) {
	case domain.LocalLoad:
		body := news.Load{Engine: string(c.Engine), Active: c.Active, Tokens: c.LayerTokenRate}
		return d.made(news.KindLoad, string(c.Engine), news.ScopeCentre, loadLife, body)
	case domain.LocalTeamUsage:
		body := news.Rate{Team: string(c.Team), Rate: c.Rate}
		return d.made(news.KindRate, string(c.Team), news.ScopeFleet, loadLife, body)
	case domain.LocalCapacity:
		body := news.Sum{DataCentre: d.unit(), Model: string(c.Model), Free: c.FreeRate}
		return d.made(news.KindSum, string(c.Model), news.ScopeFleet, sumLife, body)
	case domain.ReportSuspect:
		key := strconv.FormatUint(c.Fingerprint, 16)
		return d.made(news.KindPrint, key, news.ScopeFleet, printLife, news.Print{Print: c.Fingerprint, Crashes: c.Crashes, Engine: string(c.Engine)})
	}
	return news.Item{}, false
}

func (d *Daemon) made(kind news.Kind, key string, scope news.Scope, life time.Duration, body any) (news.Item, bool) {
	item, err := news.Make(kind, key, scope, life.Milliseconds(), body)
	if err != nil {
		d.Log.Warn("daemon: item lost", zap.Stringer("kind", kind), zap.Error(err))
		return news.Item{}, false
	}
	return item, true
}

// deliver takes an item of another instance.
func (f *fleet) deliver(item news.Item) {
	switch item.Kind {
	case news.KindHead:
		var b news.Head
		if news.Decode(item, &b) == nil && f.parts.follower != nil {
			f.parts.follower.NotifyVersion(b.Version)
		}
	case news.KindPrint:
		var b news.Print
		if news.Decode(item, &b) == nil {
			f.parts.loop.Post(domain.SuspectReported{Fingerprint: b.Print, Crashes: b.Crashes, Engine: spec.UpstreamID(b.Engine)})
		}
	case news.KindSum:
		var b news.Sum
		if news.Decode(item, &b) == nil && b.DataCentre != f.unit() {
			f.parts.loop.Post(domain.CentreCapacity{
				DataCentre: spec.DataCentre(b.DataCentre), Model: spec.ModelName(b.Model),
				Instance: spec.InstanceID(item.Origin), FreeRate: b.Free,
			})
		}
	default:
		f.parts.watcher.Heard(item)
	}
}

// sayHead tells the others the version in force, now and then and at once
// after each change.
func (f *fleet) sayHead(ctx context.Context) error {
	ticker := time.NewTicker(headEvery)
	defer ticker.Stop()
	for {
		f.head()
		select {
		case <-ctx.Done():
			return nil
		case <-f.parts.changed:
		case <-ticker.C:
		}
	}
}

func (f *fleet) head() {
	now := f.parts.book.Snapshot()
	if now == nil {
		return
	}
	if item, ok := f.made(news.KindHead, "head", news.ScopeFleet, headLife, news.Head{Version: now.Version()}); ok {
		f.hub.Say(item)
	}
}
