// Package trial sets up the stand-ins of a small deployment on loopback.
//
// It imports the other stand-ins. The trial command and end-to-end tests
// start a Site and point instances at it.
package trial

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"fulmarwick/internal/base/frame"
	"fulmarwick/internal/fakes/desk"
	"fulmarwick/internal/fakes/infra"
	"fulmarwick/internal/fakes/stage"
	"fulmarwick/internal/state/config"
	"fulmarwick/internal/state/store"

	"github.com/go-faster/errors"
)

// Names of the stand-in deployment.
const (
	Model   = "levy-13b"
	Depth   = 24
	Service = "payments"
	Centre  = "klang"
	// Key is the key of the only team.
	Key = "trial-key"
)

// configuration is the configuration that Start puts in force.
const configuration = `[class answer]
kind = model
model = ` + Model + `
first = 1s
gap = 100ms
percent = 95

[class payment]
kind = plain
service = ` + Service + `
repeatable = no
whole = 5s
percent = 99

[service ` + Service + `]
outcomes = yes
`

// Site is a running set of stand-ins. Set the exported fields before Start.
type Site struct {
	// Layer is the time of a layer on the fastest engine.
	Layer time.Duration
	// Copies is how many engines there are of each of the six; zero is one.
	Copies int
	// Poison is a word that kills each engine that runs it; "" is none.
	Poison string

	engines   []*stage.Engine
	desk      *desk.Desk
	server    *infra.Server
	mu        sync.Mutex
	entries   []store.ListedBody
	url       string
	listeners []net.Listener
}

// Engines are the stand-in engines.
func (s *Site) Engines() []*stage.Engine { return s.engines }

// Desk is the stand-in plain service.
func (s *Site) Desk() *desk.Desk { return s.desk }

// Table is the stand-in platform's table.
func (s *Site) Table() *infra.Table { return s.server.Table }

// URL is where the platform answers.
func (s *Site) URL() string { return s.url }

// Start serves all stand-ins on free loopback ports.
func (s *Site) Start(ctx context.Context) error {
	s.server = &infra.Server{Table: &infra.Table{}}
	s.engines = newEngines(s.Layer, max(1, s.Copies))
	for _, e := range s.engines {
		e.Poison = s.Poison
		if err := s.addUpstream(ctx, e.Name, store.RoleEngine, "", e.Handler()); err != nil {
			return err
		}
	}
	s.desk = &desk.Desk{Name: Service}
	if err := s.addUpstream(ctx, Service+"-1", store.RoleService, Service, s.desk.Handler()); err != nil {
		return err
	}
	url, err := s.serve(ctx, s.server.Handler())
	if err != nil {
		return err
	}
	s.url = url
	s.server.List(s.entries)
	team := "\n[team trial]\nkey-hash = " + string(config.HashKey(Key)) + "\n"
	return Apply(ctx, s.server.Table, configuration+team)
}

// Apply puts a document in force.
func Apply(ctx context.Context, table config.CommitTable, text string) error {
	applier := &config.Applier{Table: table}
	change := config.Change{Documents: []config.Document{{File: "trial.ini", Data: []byte(text)}}, Author: "trial"}
	if _, err := applier.Apply(ctx, change); err != nil {
		return errors.Wrap(err, "trial: configure")
	}
	return nil
}

// List adds an entry to the platform's list, or replaces the one of its ID.
func (s *Site) List(entry store.ListedBody) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.entries {
		if s.entries[i].ID == entry.ID {
			s.entries = append(s.entries[:i], s.entries[i+1:]...)
			break
		}
	}
	s.entries = append(s.entries, entry)
	s.server.List(s.entries)
}

// Unlist removes an entry from the platform's list.
func (s *Site) Unlist(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.entries {
		if s.entries[i].ID == id {
			s.entries = append(s.entries[:i], s.entries[i+1:]...)
			break
		}
	}
	s.server.List(s.entries)
}

// Close stops all stand-ins.
func (s *Site) Close() {
	for _, l := range s.listeners {
		_ = l.Close()
	}
}

// newEngines are of three speeds and hold overlapping ranges; no one of them
// holds the whole model.
func newEngines(unit time.Duration, copies int) []*stage.Engine {
	ranges := []struct {
		name, kind string
		from, to   int
		slow       time.Duration
	}{
		{"fast-1", "h200", 0, 12, 1},
		{"fast-2", "h200", 8, 20, 1},
		{"mid-1", "l40s", 0, 10, 2},
		{"mid-2", "l40s", 10, 18, 2},
		{"slow-1", "t4", 16, 24, 4},
		{"slow-2", "t4", 18, 24, 4},
	}
	var out []*stage.Engine
	for c := range copies {
		for _, r := range ranges {
			name := r.name
			if c > 0 {
				name += "-" + strconv.Itoa(c+1)
			}
			hold := frame.Hold{Model: Model, Version: "1", Depth: Depth, From: r.from, To: r.to}
			out = append(out, &stage.Engine{
				Name: name, DataCentre: Centre, Kind: r.kind, Holds: []frame.Hold{hold},
				Layer: unit * r.slow, Slots: 16,
			})
		}
	}
	return out
}

func (s *Site) addUpstream(ctx context.Context, id, role, service string, h http.Handler) error {
	url, err := s.serve(ctx, h)
	if err != nil {
		return err
	}
	s.entries = append(s.entries, store.ListedBody{
		ID: id, Role: role, Service: service, URL: url, DataCentre: Centre, State: frame.StateLive,
	})
	return nil
}

func (s *Site) serve(ctx context.Context, h http.Handler) (string, error) {
	l, err := new(net.ListenConfig).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "trial: listen")
	}
	s.listeners = append(s.listeners, l)
	server := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(l) }()
	return "http://" + l.Addr().String(), nil
}
