// Package trial runs the stand-ins of a small deployment on loopback addresses.
//
// It imports the other stand-ins. The trial command and end-to-end tests
// start a Site and connect instances to it.
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

// The parts of the stand-in deployment.
const (
	// Model is the name of the model.
	Model = "levy-13b"
	// Depth is the number of layers of the model.
	Depth = 24
	// Service is the name of the plain service.
	Service = "payments"
	// Centre is the data centre of all upstreams.
	Centre = "klang"
	// Key is the API key of the only team.
	Key = "trial-key"
)

// configuration is the document that Start applies, without the section of the team.
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
	// LayerTime is how long the fastest engines take to run one layer.
	LayerTime time.Duration
	// Copies is the number of copies of each of the six engines; zero means one.
	Copies int
	// Poison is a word that crashes every engine that runs a prompt with it; ""
	// means no such word.
	Poison string

	engines   []*stage.Engine
	desk      *desk.Desk
	server    *infra.Server
	mu        sync.Mutex
	entries   []store.ListedBody
	url       string
	listeners []net.Listener
}

// Engines returns the stand-in engines.
func (s *Site) Engines() []*stage.Engine { return s.engines }

// Desk returns the stand-in plain service.
func (s *Site) Desk() *desk.Desk { return s.desk }

// Table returns the table of the stand-in platform.
func (s *Site) Table() *infra.Table { return s.server.Table }

// URL returns the base URL of the stand-in platform.
func (s *Site) URL() string { return s.url }

// Start serves all stand-ins on free loopback ports and applies the configuration.
func (s *Site) Start(ctx context.Context) error {
	s.server = &infra.Server{Table: &infra.Table{}}
	s.engines = newEngines(s.LayerTime, max(1, s.Copies))
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
	s.server.SetEntries(s.entries)
	team := "\n[team trial]\nkey-hash = " + string(config.HashKey(Key)) + "\n"
	return Apply(ctx, s.server.Table, configuration+team)
}

// Apply makes text the configuration in force.
func Apply(ctx context.Context, table config.CommitTable, text string) error {
	applier := &config.Applier{Table: table}
	change := config.Change{Documents: []config.Document{{File: "trial.ini", Data: []byte(text)}}, Author: "trial"}
	if _, err := applier.Apply(ctx, change); err != nil {
		return errors.Wrap(err, "trial: apply configuration")
	}
	return nil
}

// List adds an entry to the platform's list of instances. It replaces an entry with
// the same ID.
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
	s.server.SetEntries(s.entries)
}

// Unlist removes the entry with this ID from the platform's list of instances.
func (s *Site) Unlist(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.entries {
		if s.entries[i].ID == id {
			s.entries = append(s.entries[:i], s.entries[i+1:]...)
			break
		}
	}
	s.server.SetEntries(s.entries)
}

// Close stops all stand-ins.
func (s *Site) Close() {
	for _, l := range s.listeners {
		_ = l.Close()
	}
}

// newEngines returns engines of three speeds with overlapping ranges of layers. No
// engine holds the whole model.
func newEngines(layerTime time.Duration, copies int) []*stage.Engine {
	ranges := []struct {
		name, kind string
		from, to   int
		slowdown   time.Duration
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
			held := frame.LoadedLayers{Model: Model, Version: "1", Depth: Depth, From: r.from, To: r.to}
			out = append(out, &stage.Engine{
				Name: name, DataCentre: Centre, Kind: r.kind, Holds: []frame.LoadedLayers{held},
				LayerTime: layerTime * r.slowdown, Slots: 16,
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
