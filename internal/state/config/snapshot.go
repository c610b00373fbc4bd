package config

import (
	"slices"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/state/store"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"
)

// maxSnapshotBytes bounds the size of an encoded snapshot; 37,000 teams take about 8 MB.
const maxSnapshotBytes = 64 << 20

// wireSnapshot is the encoding of a snapshot between instances. It has the versions of
// the table's rows, so that an instance that starts from a peer's snapshot reads only
// later rows when the table is available again.
type wireSnapshot struct {
	Head           []byte    `cbor:"1,keyasint"`
	HeadRowVersion uint64    `cbor:"2,keyasint"`
	Rows           []wireRow `cbor:"3,keyasint"`
}

type wireRow struct {
	Key     string `cbor:"1,keyasint"`
	Version uint64 `cbor:"2,keyasint"`
	Value   []byte `cbor:"3,keyasint"`
}

// snapshot builds the snapshot from the rows.
func (s *state) snapshot() *Snapshot {
	var classes []spec.Class
	var teams []spec.Team
	items := s.items()
	for _, i := range items {
		switch i.Sort {
		case ItemClass:
			classes = append(classes, i.toClass())
		case ItemTeam:
			teams = append(teams, i.toTeam())
		}
	}
	out := NewSnapshot(s.head.Version, classes, teams)
	out.state = s
	for _, i := range items {
		if c, ok := out.classByName[spec.ClassName(i.DefaultClass)]; ok && i.Sort == ItemModel {
			out.defaultByModel[spec.ModelName(i.Name)] = c
		}
	}
	return out
}

// Encode returns the encoded snapshot for other instances, or nil if the snapshot was
// not built from rows of the table.
func (s *Snapshot) Encode() []byte {
	if s.state == nil {
		return nil
	}
	w := wireSnapshot{Head: encode(s.state.head), HeadRowVersion: s.state.headRowVersion}
	for _, key := range sortedKeys(s.state.rows) {
		h := s.state.rows[key]
		w.Rows = append(w.Rows, wireRow{Key: key, Version: h.version, Value: h.value})
	}
	return encode(w)
}

// DecodeSnapshot decodes a snapshot that Encode wrote. It returns ErrBadRows for all
// other input, and if the rows are not exactly those of the snapshot's version.
func DecodeSnapshot(data []byte) (*Snapshot, error) {
	if len(data) > maxSnapshotBytes {
		return nil, errors.Wrap(ErrBadRows, "snapshot is too large")
	}
	var w wireSnapshot
	if err := cbor.Unmarshal(data, &w); err != nil {
		return nil, errors.Wrap(ErrBadRows, err.Error())
	}
	s := newState()
	for _, r := range w.Rows {
		if r.Key == headKey {
			return nil, errors.Wrap(ErrBadRows, "head among the rows")
		}
		if err := s.put(store.NewRow(r.Key, r.Version, r.Value)); err != nil {
			return nil, err
		}
	}
	if err := s.put(store.NewRow(headKey, w.HeadRowVersion, w.Head)); err != nil {
		return nil, err
	}
	if s.head.Version == 0 || !s.isConsistent() {
		return nil, errors.Wrap(ErrBadRows, "rows do not match the head")
	}
	return s.snapshot(), nil
}

// SupportsOutcomes reports whether the service can be queried for the outcome of a call.
func (s *Snapshot) SupportsOutcomes(service spec.ServiceName) bool {
	if s.state == nil {
		return false
	}
	i, _ := s.state.item(ItemService, string(service))
	return i.Outcomes
}

// ClassReliability returns the percentage of the class's requests that must be answered
// at all, or zero if none is configured.
func (s *Snapshot) ClassReliability(class spec.ClassName) float64 {
	if s.state == nil {
		return 0
	}
	i, _ := s.state.item(ItemClass, string(class))
	return i.Reliability
}

// TeamRateLimit returns the maximum rate of a team in tokens a second; zero means no
// limit.
func (s *Snapshot) TeamRateLimit(team spec.TeamID) float64 {
	if s.state == nil {
		return 0
	}
	i, _ := s.state.item(ItemTeam, s.teamByID[team].Name())
	return i.RateLimit
}

// Allows reports whether the team may use the class. A class without a list of teams
// is open to all teams.
func (s *Snapshot) Allows(class spec.ClassName, team spec.TeamID) bool {
	if s.state == nil {
		return true
	}
	i, _ := s.state.item(ItemClass, string(class))
	return len(i.Teams) == 0 || slices.Contains(i.Teams, s.teamByID[team].Name())
}
