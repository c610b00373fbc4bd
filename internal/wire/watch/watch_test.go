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

// testbed is one engine, e1, and the watchers that read it.
type testbed struct {
	mu              sync.Mutex
	state           string // of the engine's port: "", "refuse" or "hang"
	unreachableFrom map[string]bool
	body            frame.Engine
	list            []store.ListedBody
	listErr         error
	instances       []*instance
}

// instance is one instance's watcher.
type instance struct {
	bed      *testbed
	name     string
	w        *watch.Watcher
	mu       sync.Mutex
	posts    []string
	postedAt map[string]time.Time
	polls    int
}

func newLab() *testbed {
	l := &testbed{unreachableFrom: map[string]bool{}, body: frame.Engine{Name: "e1", State: frame.StateLive, Slots: 4, Seq: 1}}
	l.list = []store.ListedBody{{ID: "e1", Role: store.RoleEngine, URL: "http://e1", State: frame.StateLive}}
	return l
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

func (s *instance) Locate(spec.UpstreamID, string) {}

type services struct{}

func (services) Locate(spec.ServiceName, []string) {}

// Say hands an item to the other sites a moment later.
func (s *instance) Say(item news.Item) {
	item.Origin = s.name
	time.AfterFunc(20*time.Millisecond, func() {
		for _, other := range s.bed.instances {
			if other != s {
				other.w.Heard(item)
			}
		}
	})
}

func (l *testbed) set(f func(*testbed)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f(l)
}

// run starts two watchers and one instance that only listens.
func (l *testbed) run(t *testing.T) (stop func()) {
	ctx, cancel := context.WithCancel(t.Context())
	var group sync.WaitGroup
	for _, name := range []string{"first", "second", "third"} {
		s := &instance{bed: l, name: name, postedAt: map[string]time.Time{}}
		s.w = &watch.Watcher{
			List: s, Loop: s, Engines: s, Services: services{}, HTTP: &http.Client{Transport: s},
			Log: zap.NewNop(), Every: time.Second, News: s, Self: spec.InstanceID(name),
		}
		l.instances = append(l.instances, s)
	}
	for i, s := range l.instances {
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

// reset forgets what was posted before; saw lists what was posted after.
func (l *testbed) reset() {
	for _, s := range l.instances {
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

func (l *testbed) checkPosted(t *testing.T, what string, want bool) {
	t.Helper()
	for _, s := range l.instances {
		if got := s.posted(what); got != want {
			t.Errorf("got %s at %s: %v, want %v", what, s.name, got, want)
		}
	}
}

// Callers' requests run on an engine that dies. Both watchers miss its
// answers, agree, and every instance leaves it about a second later; when it
// is back, all hear of it.
func TestDeadEngineIsLeftByAll(t *testing.T) {
	for _, state := range []string{"refuse", "hang"} {
		synctest.Test(t, func(t *testing.T) {
			l := newLab()
			defer l.run(t)()
			l.checkPosted(t, "EngineReport", true)
			l.reset()
			died := time.Now()
			l.set(func(l *testbed) { l.state = state })
			time.Sleep(2 * time.Second)
			l.checkPosted(t, "EngineDead", true)
			for _, s := range l.instances {
				if got := s.postedAt["EngineDead"].Sub(died); got > 1600*time.Millisecond {
					t.Errorf("got %v until %s knew of an engine that would %s, want 1.6s", got, s.name, state)
				}
			}
			l.reset()
			l.set(func(l *testbed) { l.state = "" })
			time.Sleep(2 * time.Second)
			l.checkPosted(t, "EngineReport", true)
		})
	}
}

// The way from one watcher to an engine is broken. The other one still reads
// it, so no instance stops using an engine that works.
func TestOneBlindWatcherDownsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLab()
		defer l.run(t)()
		l.reset()
		l.set(func(l *testbed) { l.unreachableFrom["first"] = true })
		time.Sleep(20 * time.Second)
		l.checkPosted(t, "EngineDead", false)
		l.checkPosted(t, "EngineReport", true)
	})
}

// An engine crashes and is back between two polls. Its answers look healthy,
// but all that ran on it is lost, so its death is told first.
func TestRestartBetweenPollsIsADeath(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLab()
		l.set(func(l *testbed) { l.body.Seq = 1000 })
		defer l.run(t)()
		l.reset()
		l.set(func(l *testbed) { l.body.Seq = 0 })
		time.Sleep(2 * time.Second)
		l.checkPosted(t, "EngineDead", true)
		l.checkPosted(t, "EngineReport", true)
	})
}

// An engine says that it is leaving before the platform's list does. Every
// instance hears of it within the time of one poll and one push.
func TestLeavingEngineIsToldToAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLab()
		defer l.run(t)()
		l.reset()
		l.set(func(l *testbed) { l.body.State = frame.StateLeaving })
		time.Sleep(500 * time.Millisecond)
		l.checkPosted(t, "EngineLeaving", true)
	})
}

// The platform's list fails, then comes back empty, while engines serve. No
// instance drops one; an engine that is neither listed nor answers goes.
func TestEmptyListRemovesNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLab()
		defer l.run(t)()
		l.reset()
		l.set(func(l *testbed) { l.listErr = errors.New("down") })
		time.Sleep(5 * time.Minute)
		l.set(func(l *testbed) { l.listErr, l.list = nil, nil })
		time.Sleep(5 * time.Minute)
		l.checkPosted(t, "EngineRemoved", false)
		l.set(func(l *testbed) { l.state = "refuse" })
		time.Sleep(2 * time.Minute)
		l.checkPosted(t, "EngineRemoved", true)
	})
}

// With thirty engines before four instances, questions of every watcher four
// times a second took 58 KB a second of an instance, where all control may
// take 24. One that stands by asks seldom, and still agrees in time (above).
func TestStandbyAsksSeldom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLab()
		defer l.run(t)()
		before := [2]int{l.instances[0].pollCount(), l.instances[1].pollCount()}
		time.Sleep(time.Minute)
		if got := l.instances[0].pollCount() - before[0]; got > 165 {
			t.Errorf("got %d questions a minute of the first watcher, want about 150", got)
		}
		if got := l.instances[1].pollCount() - before[1]; got > 40 {
			t.Errorf("got %d questions a minute of the one standing by, want about 30", got)
		}
	})
}

func (s *instance) pollCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.polls
}
