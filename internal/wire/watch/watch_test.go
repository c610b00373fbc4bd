package watch_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"fulmarwick/internal/base/frame"
	"fulmarwick/internal/base/news"
	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/fleet/node"
	"fulmarwick/internal/route/domain"
	"fulmarwick/internal/state/store"
	"fulmarwick/internal/wire/watch"

	"github.com/go-faster/errors"
	"go.uber.org/zap"
)

// testbed is one engine, e1, and the watchers that poll it.
type testbed struct {
	mu              sync.Mutex
	state           string // how e1 treats connections: "" (answers), "refuse" or "hang"
	unreachableFrom map[string]bool
	body            frame.Engine
	list            []store.ListedBody
	listErr         error
	instances       []*instance
}

// instance is one instance with its watcher.
type instance struct {
	bed      *testbed
	name     string
	w        *watch.Watcher
	mu       sync.Mutex
	posts    []string
	postedAt map[string]time.Time
	polls    int
}

func newTestbed() *testbed {
	b := &testbed{unreachableFrom: map[string]bool{}, body: frame.Engine{Name: "e1", State: frame.StateLive, Slots: 4, Seq: 1}}
	b.list = []store.ListedBody{{ID: "e1", Role: store.RoleEngine, URL: "http://e1", State: frame.StateLive}}
	return b
}

// RoundTrip answers as the engine does.
func (s *instance) RoundTrip(req *http.Request) (*http.Response, error) {
	s.mu.Lock()
	s.polls++
	s.mu.Unlock()
	s.bed.mu.Lock()
	state := s.bed.state
	if s.bed.unreachableFrom[s.name] {
		state = "hang"
	}
	s.bed.body.Seq++
	data, err := json.Marshal(s.bed.body)
	s.bed.mu.Unlock()
	switch state {
	case "refuse":
		return nil, errors.New("refused")
	case "hang":
		<-req.Context().Done()
		return nil, req.Context().Err()
	}
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(strings.NewReader(string(data)))}, err
}

func (s *instance) ListInstances(context.Context) ([]store.ListedBody, error) {
	s.bed.mu.Lock()
	defer s.bed.mu.Unlock()
	return slices.Clone(s.bed.list), s.bed.listErr
}

func (s *instance) Post(ev domain.Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	name := strings.TrimPrefix(fmt.Sprintf("%T", ev), "domain.")
	if len(s.posts) == 0 || s.posts[len(s.posts)-1] != name {
		s.posts = append(s.posts, name)
		s.postedAt[name] = time.Now()
	}
}

func (s *instance) SetAddress(spec.UpstreamID, string) {}

type services struct{}

func (services) Locate(spec.ServiceName, []string) {}

// Publish delivers an item to the other instances 20 ms later.
func (s *instance) Publish(item news.Item) {
	item.Origin = s.name
	time.AfterFunc(20*time.Millisecond, func() {
		for _, other := range s.bed.instances {
			if other != s {
				other.w.HandleItem(item)
			}
		}
	})
}

func (b *testbed) set(f func(*testbed)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	f(b)
}

// run starts two watchers and one instance that only receives their items.
func (b *testbed) run(t *testing.T) (stop func()) {
	ctx, cancel := context.WithCancel(t.Context())
	var group sync.WaitGroup
	for _, name := range []string{"first", "second", "third"} {
		s := &instance{bed: b, name: name, postedAt: map[string]time.Time{}}
		s.w = &watch.Watcher{
			List: s, Events: s, Engines: s, Services: services{}, HTTP: &http.Client{Transport: s},
			Log: zap.NewNop(), ListInterval: time.Second, Publisher: s, Self: spec.InstanceID(name),
		}
		b.instances = append(b.instances, s)
	}
	for i, s := range b.instances {
		group.Go(func() { _ = s.w.Run(ctx) })
		if i < 2 {
			time.Sleep(10 * time.Millisecond)
			command := node.Watch{Engines: []spec.UpstreamID{"e1"}}
			if i == 0 {
				command.Primary = command.Engines
			}
			s.w.Assign(command)
		}
	}
	time.Sleep(3 * time.Second)
	return func() {
		cancel()
		group.Wait()
		time.Sleep(time.Second)
	}
}

// reset clears the recorded events, so that posted sees only later ones.
func (b *testbed) reset() {
	for _, s := range b.instances {
		s.mu.Lock()
		s.posts = nil
		s.mu.Unlock()
	}
}

func (s *instance) posted(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Contains(s.posts, name)
}

func (b *testbed) checkPosted(t *testing.T, what string, want bool) {
	t.Helper()
	for _, s := range b.instances {
		if got := s.posted(what); got != want {
			t.Errorf("got %s at %s: %v, want %v", what, s.name, got, want)
		}
	}
}

// An engine dies while it runs requests, or hangs. Both watchers miss its
// answers and agree. About one second later every instance learns that it is
// dead if its connections are refused, or else that it is silent. An engine
// that hangs on is dead after another second. When the engine is back, all
// instances get its report.
func TestDeadEngineIsReportedToAll(t *testing.T) {
	for _, test := range []struct {
		state string
		want  map[string]time.Duration
	}{
		{"refuse", map[string]time.Duration{"EngineDead": 1600 * time.Millisecond}},
		{"hang", map[string]time.Duration{"EngineSilent": 1600 * time.Millisecond, "EngineDead": 2600 * time.Millisecond}},
	} {
		synctest.Test(t, func(t *testing.T) {
			b := newTestbed()
			defer b.run(t)()
			b.checkPosted(t, "EngineReport", true)
			b.reset()
			died := time.Now()
			b.set(func(b *testbed) { b.state = test.state })
			time.Sleep(3 * time.Second)
			for event, within := range test.want {
				b.checkPosted(t, event, true)
				for _, s := range b.instances {
					if got := s.postedAt[event].Sub(died); got > within {
						t.Errorf("got %v until %s had %s of an engine in state %s, want %v", got, s.name, event, test.state, within)
					}
				}
			}
			b.reset()
			b.set(func(b *testbed) { b.state = "" })
			time.Sleep(2 * time.Second)
			b.checkPosted(t, "EngineReport", true)
		})
	}
}

// Guards against silence taken for death: an engine that does not answer for as
// long as a sound engine may be silent is silent at every instance, and dead at
// none.
func TestSilentEngineIsNotDead(t *testing.T) {
	for range 20 {
		synctest.Test(t, func(t *testing.T) {
			b := newTestbed()
			defer b.run(t)()
			b.reset()
			b.set(func(b *testbed) { b.state = "hang" })
			time.Sleep(1500 * time.Millisecond)
			b.set(func(b *testbed) { b.state = "" })
			time.Sleep(2 * time.Second)
			b.checkPosted(t, "EngineSilent", true)
			b.checkPosted(t, "EngineDead", false)
			b.checkPosted(t, "EngineReport", true)
		})
	}
}

// The network path from one watcher to an engine is broken. The other watcher
// still reads its reports, so no instance stops using the engine.
func TestOneBrokenPathIsNotADeath(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestbed()
		defer b.run(t)()
		b.reset()
		b.set(func(b *testbed) { b.unreachableFrom["first"] = true })
		time.Sleep(20 * time.Second)
		b.checkPosted(t, "EngineDead", false)
		b.checkPosted(t, "EngineReport", true)
	})
}

// An engine crashes and restarts between two polls. Its answers look healthy,
// but everything that ran on it is lost, so its death must be posted first.
func TestRestartBetweenPollsIsADeath(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestbed()
		b.set(func(b *testbed) { b.body.Seq = 1000 })
		defer b.run(t)()
		b.reset()
		b.set(func(b *testbed) { b.body.Seq = 0 })
		time.Sleep(2 * time.Second)
		b.checkPosted(t, "EngineDead", true)
		b.checkPosted(t, "EngineReport", true)
	})
}

// An engine reports that it is leaving before the platform's list does. Every
// instance must learn of it within one poll and one published item.
func TestLeavingEngineIsToldToAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestbed()
		defer b.run(t)()
		b.reset()
		b.set(func(b *testbed) { b.body.State = frame.StateLeaving })
		time.Sleep(500 * time.Millisecond)
		b.checkPosted(t, "EngineLeaving", true)
	})
}

// Reading the platform's list fails, then the list is empty, while the engine
// still answers. No instance may drop it. An engine that is neither listed nor
// answers is removed.
func TestEmptyListRemovesNoLiveEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestbed()
		defer b.run(t)()
		b.reset()
		b.set(func(b *testbed) { b.listErr = errors.New("down") })
		time.Sleep(5 * time.Minute)
		b.set(func(b *testbed) { b.listErr, b.list = nil, nil })
		time.Sleep(5 * time.Minute)
		b.checkPosted(t, "EngineRemoved", false)
		b.set(func(b *testbed) { b.state = "refuse" })
		time.Sleep(2 * time.Minute)
		b.checkPosted(t, "EngineRemoved", true)
	})
}

// With thirty engines and four instances, polling by every watcher four times a
// second took 58 KB a second of one instance, where all control traffic may
// take 24. A standby watcher polls rarely and still confirms a death in time,
// as the tests above check.
func TestStandbyPollsRarely(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestbed()
		defer b.run(t)()
		before := [2]int{b.instances[0].pollCount(), b.instances[1].pollCount()}
		time.Sleep(time.Minute)
		if got := b.instances[0].pollCount() - before[0]; got > 165 {
			t.Errorf("got %d polls a minute by the primary watcher, want about 150", got)
		}
		if got := b.instances[1].pollCount() - before[1]; got > 40 {
			t.Errorf("got %d polls a minute by the standby watcher, want about 30", got)
		}
	})
}

func (s *instance) pollCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.polls
}
