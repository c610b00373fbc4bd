// Package config holds the active configuration of classes and teams, and applies
// changes to it.
//
// It imports base/spec and state/store. Package entry reads Active, which a Follower
// keeps up to date; the commands apply, show and check use Applier. Every item is a
// row of the table. Every change also writes a head row with the version, so that all
// changes are ordered.
package config

import (
	"crypto/sha256"
	"encoding/hex"
	"sync/atomic"

	"fulmarwick/internal/base/spec"
)

// Active holds the active snapshot of classes and teams. The zero value is empty. It is
// safe for concurrent use.
type Active struct {
	current atomic.Pointer[Snapshot]
}

// Snapshot is one version of the configuration. It is immutable.
type Snapshot struct {
	version        uint64
	classes        []spec.Class
	teams          []spec.Team
	classByName    map[spec.ClassName]spec.Class
	defaultByModel map[spec.ModelName]spec.Class
	teamByID       map[spec.TeamID]spec.Team
	// state holds the rows that the snapshot was built from; nil if it was not
	// built from rows.
	state *state
}

// NewSnapshot returns a snapshot. The first class of a model is the default class of
// the model.
func NewSnapshot(version uint64, classes []spec.Class, teams []spec.Team) *Snapshot {
	s := &Snapshot{
		version: version, classes: classes, teams: teams,
		classByName:    make(map[spec.ClassName]spec.Class, len(classes)),
		defaultByModel: map[spec.ModelName]spec.Class{},
		teamByID:       make(map[spec.TeamID]spec.Team, len(teams)),
	}
	for _, c := range classes {
		s.classByName[c.Name()] = c
		if _, ok := s.defaultByModel[c.Model()]; !ok && c.Kind() == spec.KindModel {
			s.defaultByModel[c.Model()] = c
		}
	}
	for _, t := range teams {
		s.teamByID[t.ID()] = t
	}
	return s
}

// Version returns the version of the snapshot.
func (s *Snapshot) Version() uint64 { return s.version }

// Classes returns the classes in the order that NewSnapshot was given.
func (s *Snapshot) Classes() []spec.Class { return s.classes }

// Teams returns the teams.
func (s *Snapshot) Teams() []spec.Team { return s.teams }

// SetIfNewer activates s unless the active version is at least as high, and reports
// whether it did. A stale read or an outdated peer can therefore never revert an
// accepted configuration.
func (b *Active) SetIfNewer(s *Snapshot) bool {
	for {
		old := b.current.Load()
		if old != nil && old.version >= s.version {
			return false
		}
		if b.current.CompareAndSwap(old, s) {
			return true
		}
	}
}

// Snapshot returns the active snapshot, or nil before the first one.
func (b *Active) Snapshot() *Snapshot { return b.current.Load() }

// Class returns the class with the name.
func (b *Active) Class(name spec.ClassName) (spec.Class, bool) {
	s := b.current.Load()
	if s == nil {
		return spec.Class{}, false
	}
	c, ok := s.classByName[name]
	return c, ok
}

// DefaultClass returns the default class of a model.
func (b *Active) DefaultClass(model spec.ModelName) (spec.Class, bool) {
	s := b.current.Load()
	if s == nil {
		return spec.Class{}, false
	}
	c, ok := s.defaultByModel[model]
	return c, ok
}

// TeamByKey returns the team with the API key.
func (b *Active) TeamByKey(key string) (spec.Team, bool) {
	s := b.current.Load()
	if s == nil {
		return spec.Team{}, false
	}
	t, ok := s.teamByID[HashKey(key)]
	return t, ok
}

// HashKey returns the hash of a team's API key. Only the hash of a key is stored.
func HashKey(key string) spec.TeamID {
	sum := sha256.Sum256([]byte(key))
	return spec.TeamID(hex.EncodeToString(sum[:]))
}
