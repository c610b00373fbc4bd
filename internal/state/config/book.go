// Package config keeps the classes and teams in force, and changes them.
//
// It imports base/spec and state/store. Package entry reads the Book, which a
// Follower keeps up to date; the commands apply, show and check use Applier.
// Every item is a row of the table; a head row with the version is written
// with every change, so that changes have one order.
package config

import (
	"crypto/sha256"
	"encoding/hex"
	"sync/atomic"

	"fulmarwick/internal/base/spec"
)

// Active gives the classes and teams in force. The zero value is empty.
type Active struct {
	current atomic.Pointer[Snapshot]
}

// Snapshot is one version of the configuration. It never changes.
type Snapshot struct {
	version        uint64
	classes        []spec.Class
	teams          []spec.Team
	classByName    map[spec.ClassName]spec.Class
	defaultByModel map[spec.ModelName]spec.Class
	teamByID       map[spec.TeamID]spec.Team
	// state is the rows that the snapshot was made of, if it was.
	state *state
}

// NewSnapshot returns a snapshot. The first class of a model is its default.
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

// Version is the version of the snapshot.
func (s *Snapshot) Version() uint64 { return s.version }

// Classes are the classes, in the order of their definition.
func (s *Snapshot) Classes() []spec.Class { return s.classes }

// Teams are the teams.
func (s *Snapshot) Teams() []spec.Team { return s.teams }

// SetIfNewer puts s in force unless a version at least as high is in force already,
// and reports whether it did. A stale read or an old peer so never reverts an
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

// Snapshot is the snapshot in force, or nil before the first.
func (b *Active) Snapshot() *Snapshot { return b.current.Load() }

// Class returns the class under name.
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

// TeamByKey returns the team whose key is key.
func (b *Active) TeamByKey(key string) (spec.Team, bool) {
	s := b.current.Load()
	if s == nil {
		return spec.Team{}, false
	}
	t, ok := s.teamByID[HashKey(key)]
	return t, ok
}

// HashKey is the hash under which a team's key is kept.
func HashKey(key string) spec.TeamID {
	sum := sha256.Sum256([]byte(key))
	return spec.TeamID(hex.EncodeToString(sum[:]))
}
