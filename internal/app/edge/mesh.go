package edge

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/fleet/mesh"
	"fulmarwick/internal/fleet/node"
	"fulmarwick/internal/route/again"
	"fulmarwick/internal/route/crash"
	"fulmarwick/internal/route/path"
	"fulmarwick/internal/state/feed"
	"fulmarwick/internal/state/store"
	"fulmarwick/internal/wire/peer"
	"fulmarwick/platform"

	"github.com/VictoriaMetrics/metrics"
	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"
	"go.uber.org/zap"
)

const (
	// meshSilence closes a connection to an instance that brings nothing: six
	// messages were due.
	meshSilence = 1200 * time.Millisecond
	// rosterTable holds a row for each instance, under its name.
	rosterTable = "instances"
	// rosterEvery is the pause between two reads of the roster while no other
	// instance is heard, rosterPause that after a failed call.
	rosterEvery = 5 * time.Second
	rosterPause = 400 * time.Millisecond
)

// rosterRow tells where an instance answers others.
type rosterRow struct {
	URL        string          `cbor:"1,keyasint"`
	DataCentre spec.DataCentre `cbor:"2,keyasint,omitempty"`
}

// crowd is the other instances: it tells them what this one knows and takes
// what they tell.
type crowd struct {
	id     spec.InstanceID
	centre spec.DataCentre
	url    string
	store  *platform.Store
	belief *belief
	router *router
	log    *zap.Logger
	dial   func(ctx context.Context, network, address string) (net.Conn, error)
	meters *metrics.Set
	// behind counts how often others knew more and did not tell it.
	behind func()
	// suspect is told of engines that others found dead.
	suspect func(id spec.UpstreamID)
	logic   *mesh.Logic
	hub     *peer.Hub

	// written and listed tell that the own row of the roster was written and those
	// of the others were read after it; for enlist alone.
	written bool
	listed  bool

	mu    sync.Mutex
	dead  []spec.UpstreamID
	alive map[spec.InstanceID]bool
}

// open makes the connection parts.
func (c *crowd) open() {
	c.alive = map[spec.InstanceID]bool{}
	c.logic = &mesh.Logic{ID: c.id, DataCentre: c.centre, URL: c.url, Self: c, Taker: c, Now: time.Now}
	c.hub = &peer.Hub{Self: node.Peer{ID: c.id, URL: c.url}, Logic: c.logic, Silence: meshSilence, Dial: c.dial, Log: c.log, Meters: c.meters}
}

func (c *crowd) handler() http.Handler { return c.hub.Handler() }

func (c *crowd) run(ctx context.Context) {
	if err := c.hub.Run(ctx); err != nil {
		c.log.Error("edge: mesh ended", zap.Error(err))
	}
}

// enlist writes the own row of the roster and finds the others by it. Those
// that come later find this instance.
func (c *crowd) enlist(ctx context.Context) {
	for ctx.Err() == nil {
		err := c.round(ctx)
		pause := rosterEvery
		if err != nil {
			c.log.Info("edge: roster not reached", zap.Error(err))
			pause = rosterPause
		}
		if !feed.Sleep(ctx, pause) {
			break
		}
	}
	if c.written {
		c.leave(context.WithoutCancel(ctx))
	}
}

// round writes the own row and then reads those of the others, once: of two
// instances the one that writes later finds the other. To be heard by one of them
// is not to know all; with none heard it looks again.
func (c *crowd) round(ctx context.Context) error {
	if !c.written {
		if err := c.write(ctx); err != nil {
			return err
		}
		c.written = true
	}
	if c.listed && c.heard() {
		return nil
	}
	p, err := c.store.Rows(ctx, rosterTable)
	if err != nil {
		return err
	}
	c.hub.Post(node.Listed{Peers: c.peers(p)})
	c.listed = true
	return nil
}

func (c *crowd) heard() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.alive) > 0
}

func (c *crowd) key() string { return rosterTable + "/" + string(c.id) }

// write writes the own row. Most instances start for the first time, so that the row
// of a former process is looked for only if there is one.
func (c *crowd) write(ctx context.Context) error {
	data, err := cbor.Marshal(rosterRow{URL: c.url, DataCentre: c.centre})
	if err != nil {
		return errors.Wrap(err, "edge: roster")
	}
	_, err = c.store.Commit(ctx, []store.Write{store.Put(c.key(), 0, data)})
	if !errors.Is(err, store.ErrConflict) {
		return err
	}
	row, err := c.store.Get(ctx, c.key())
	if err != nil {
		return err
	}
	_, err = c.store.Commit(ctx, []store.Write{store.Put(c.key(), row.Version(), data)})
	return err
}

func (c *crowd) peers(p feed.Page) []node.Peer {
	var out []node.Peer
	for _, r := range p.Rows {
		var row rosterRow
		if err := cbor.Unmarshal(r.Value, &row); err != nil {
			c.log.Warn("edge: row of the roster not understood", zap.String("instance", r.Key), zap.Error(err))
			continue
		}
		out = append(out, node.Peer{ID: spec.InstanceID(r.Key), DataCentre: row.DataCentre, URL: row.URL, Version: r.Version})
	}
	return out
}

// leave removes the own row, so that nobody dials an instance that left.
func (c *crowd) leave(ctx context.Context) {
	row, err := c.store.Get(ctx, c.key())
	if err == nil {
		_, err = c.store.Commit(ctx, []store.Write{store.Remove(c.key(), row.Version())})
	}
	if err != nil {
		c.log.Info("edge: row of the roster stays", zap.Error(err))
	}
}

// found notes an engine that did not answer, for the others.
func (c *crowd) found(id spec.UpstreamID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dead = append(c.dead, id)
}

// Uses is what the own requests take.
func (c *crowd) Uses() map[string]map[spec.UpstreamID]path.Use { return c.router.uses() }

// Marks is how much is known of each table.
func (c *crowd) Marks() map[string]feed.Mark { return c.belief.marks() }

// Age is how long ago the store last told of all tables.
func (c *crowd) Age() time.Duration { return c.belief.age() }

// Paces are the engines that work slower than usual.
func (c *crowd) Paces() map[spec.UpstreamID]float64 { return c.router.paces() }

// Urgent tells that engines were found dead.
func (c *crowd) Urgent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.dead) > 0
}

// News is the last changes of which the store told.
func (c *crowd) News() map[string]uint64 { return c.belief.takeNews() }

// Since returns the changes of a table.
func (c *crowd) Since(table string, version uint64) (since uint64, p feed.Page) {
	return c.belief.Since(table, version)
}

// Fresh returns what was found since the last call.
func (c *crowd) Fresh() (dead []spec.UpstreamID, crashes []crash.Death) {
	c.mu.Lock()
	defer c.mu.Unlock()
	dead = c.dead
	c.dead = nil
	return dead, c.router.freshCrashes()
}

// Used takes what the requests of another instance or of several take.
func (c *crowd) Used(from spec.InstanceID, uses map[string]map[spec.UpstreamID]path.Use) {
	c.router.used(from, uses)
}

// Paced takes how slow engines are.
func (c *crowd) Paced(from spec.InstanceID, paces map[spec.UpstreamID]float64) {
	c.router.paced(from, paces)
}

// Repeats is how often the own requests were sent.
func (c *crowd) Repeats() map[string]again.Count { return c.router.repeats() }

// Repeated takes how often requests of other instances were sent.
func (c *crowd) Repeated(from spec.InstanceID, repeats map[string]again.Count) {
	c.router.repeated(from, repeats)
}

// Told takes rows that another instance knows.
func (c *crowd) Told(table string, since uint64, rows []feed.Row, m feed.Mark, from spec.InstanceID) {
	c.belief.Told(table, since, rows, m, from)
}

// Known takes how much another instance knows.
func (c *crowd) Known(table string, m feed.Mark) { c.belief.Known(table, m) }

// Behind notes that others know more and do not tell it.
func (c *crowd) Behind(table string, known, there uint64) {
	c.log.Warn("edge: others know more, reading the store", zap.String("table", table), zap.Uint64("version", known), zap.Uint64("theirs", there))
	c.behind()
}

// Dead asks engines that another instance found dead.
func (c *crowd) Dead(_ spec.InstanceID, engines []spec.UpstreamID) {
	for _, id := range engines {
		c.suspect(id)
	}
}

// Crashed takes deaths of upstreams with the requests that they ran.
func (c *crowd) Crashed(_ spec.InstanceID, deaths []crash.Death) { c.router.crashed(deaths) }

// Met notes an instance that is heard.
func (c *crowd) Met(id spec.InstanceID) {
	c.log.Info("edge: instance met", zap.String("peer", string(id)))
	c.mu.Lock()
	defer c.mu.Unlock()
	c.alive[id] = true
}

// Missed notes an instance that fell silent: its requests end with it.
func (c *crowd) Missed(id spec.InstanceID) {
	c.log.Warn("edge: instance missed", zap.String("peer", string(id)))
	c.router.used(id, nil)
	c.router.paced(id, nil)
	c.router.repeated(id, nil)
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.alive, id)
}
