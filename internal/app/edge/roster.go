package edge

import (
	"bytes"
	"context"
	"slices"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/fleet/node"
	"fulmarwick/internal/state/feed"
	"fulmarwick/internal/state/store"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"
	"go.uber.org/zap"
)

const (
	// rosterTable is the table with a row for each instance, under its name.
	rosterTable = "instances"
	// rosterInterval is the interval between two reads of the roster while no other
	// instance is connected.
	rosterInterval = 5 * time.Second
	// storeRetryDelay is the delay after a failed call to the store.
	storeRetryDelay = 400 * time.Millisecond
)

// rosterRow holds the address of an instance for other instances.
type rosterRow struct {
	URL        string          `cbor:"1,keyasint"`
	DataCentre spec.DataCentre `cbor:"2,keyasint,omitempty"`
	// Era is the era of the store in which the row was written. Restored means that the instance has
	// seen the store begin an era.
	Era      uint64 `cbor:"3,keyasint,omitempty"`
	Restored bool   `cbor:"4,keyasint,omitempty"`
	// Constrained means that others should do the work for the fleet.
	Constrained bool `cbor:"5,keyasint,omitempty"`
}

// maintainRoster writes the own row of the roster and discovers the other instances by
// their rows. Instances that start later discover this one. The row is removed when ctx
// ends.
func (m *meshNode) maintainRoster(ctx context.Context) {
	for ctx.Err() == nil {
		err := m.syncRoster(ctx)
		delay := rosterInterval
		if err != nil {
			m.log.Info("edge: cannot sync roster", zap.Error(err))
			delay = storeRetryDelay
		}
		if !feed.Sleep(ctx, delay) {
			break
		}
	}
	if m.rosterWritten {
		m.removeRosterRow(context.WithoutCancel(ctx))
	}
}

// syncRoster writes the own row and then reads the rows of the others, each once: of two
// instances the one that writes later discovers the other. A connection to one instance
// doesn't replace that read, as it doesn't make all others known. While no instance is
// connected, the rows are read again.
//
// After the store was restored from a copy that lacks the own row, both are done again: an instance
// that started in between has found no row.
func (m *meshNode) syncRoster(ctx context.Context) error {
	if m.rosterInDoubt.Swap(false) {
		m.rosterWritten, m.sawRestore = false, true
	}
	if !m.rosterWritten {
		wasMissing, err := m.writeRosterRow(ctx)
		if err != nil {
			return err
		}
		m.rosterWritten, m.rosterRead = true, m.rosterRead && !wasMissing
	}
	if m.rosterRead && m.hasPeers() {
		return nil
	}
	page, err := m.store.ReadTable(ctx, rosterTable)
	if err != nil {
		return err
	}
	m.hub.Post(node.DiscoveryList{Peers: m.decodeRoster(page)})
	m.rosterRead = true
	return nil
}

// rosterKey returns the key of the own row.
func (m *meshNode) rosterKey() string { return rosterTable + "/" + string(m.id) }

// writeRosterRow writes the own row and reports whether there was none.
func (m *meshNode) writeRosterRow(ctx context.Context) (wasMissing bool, err error) {
	version, old, err := m.readOwnRow(ctx)
	if err != nil {
		return false, err
	}
	data, err := cbor.Marshal(rosterRow{URL: m.url, DataCentre: m.centre, Era: version.Era(), Restored: m.sawRestore, Constrained: m.constrained})
	if err != nil {
		return false, errors.Wrap(err, "edge: encode roster row")
	}
	if bytes.Equal(old, data) {
		return false, nil
	}
	_, err = m.store.Commit(ctx, []store.Write{store.Put(m.rosterKey(), uint64(version), data)})
	return old == nil, err
}

// readOwnRow returns the version and the value of the own row; nil if there is none. Before its first
// row an instance reads those of the others too, and learns from them whether it needs their tables.
func (m *meshNode) readOwnRow(ctx context.Context) (version spec.Revision, value []byte, err error) {
	if m.rosterRead {
		row, err := m.store.Get(ctx, m.rosterKey())
		if errors.Is(err, store.ErrNotFound) {
			err = nil
		}
		return spec.Revision(row.Version()), row.Value(), err
	}
	page, err := m.store.ReadTable(ctx, rosterTable)
	if err != nil {
		return 0, nil, err
	}
	if !m.needsPeers(page) {
		m.state.endStart()
	}
	for _, r := range page.Rows {
		if r.Key == string(m.id) {
			return r.Version, r.Value, nil
		}
	}
	return spec.NewRevision(page.Version.Era(), 0), nil, nil
}

// needsPeers reports whether an instance that starts must not rely on the store alone: another one wrote its
// row in an earlier era, or has lived through a restore of the store.
func (m *meshNode) needsPeers(page feed.Page) bool {
	return slices.ContainsFunc(page.Rows, func(r feed.Row) bool {
		row, err := parseRosterRow(r)
		return err == nil && r.Key != string(m.id) && (row.Era < page.Version.Era() || row.Restored)
	})
}

// parseRosterRow decodes a row of the roster.
func parseRosterRow(r feed.Row) (rosterRow, error) {
	var row rosterRow
	if err := cbor.Unmarshal(r.Value, &row); err != nil {
		return rosterRow{}, errors.Wrap(err, "edge: decode roster row")
	}
	return row, nil
}

// decodeRoster returns the instances listed in the roster, without malformed rows.
func (m *meshNode) decodeRoster(page feed.Page) []node.Peer {
	var out []node.Peer
	for _, r := range page.Rows {
		row, err := parseRosterRow(r)
		if err != nil {
			m.log.Warn("edge: malformed roster row skipped", zap.String("instance", r.Key), zap.Error(err))
			continue
		}
		out = append(out, node.Peer{ID: spec.InstanceID(r.Key), DataCentre: row.DataCentre, URL: row.URL, Version: r.Version, Constrained: row.Constrained})
	}
	return out
}

// removeRosterRow removes the own row, so that no instance dials one that has stopped.
func (m *meshNode) removeRosterRow(ctx context.Context) {
	row, err := m.store.Get(ctx, m.rosterKey())
	if err == nil {
		_, err = m.store.Commit(ctx, []store.Write{store.Remove(m.rosterKey(), row.Version())})
	}
	if err != nil {
		m.log.Info("edge: cannot remove own roster row", zap.Error(err))
	}
}
