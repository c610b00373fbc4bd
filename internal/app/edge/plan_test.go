package edge_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"fulmarwick/internal/app/edge"
	"fulmarwick/internal/fakes/depot"
	"fulmarwick/platform/stand"

	"go.uber.org/zap"
)

// readMetric returns the value of a metric from an instance's metrics address.
func (f *fixture) readMetric(address, name string) string {
	f.t.Helper()
	client := &http.Client{Transport: &http.Transport{DialContext: f.site.Dial}}
	defer client.CloseIdleConnections()
	resp, err := client.Get("http://" + address + "/metrics")
	if err != nil {
		f.t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		f.t.Fatal(err)
	}
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(line, name+" "); ok {
			return strings.TrimSpace(value)
		}
	}
	f.t.Fatalf("got no %s in the metrics, want it", name)
	return ""
}

// Guards against stalls after unrelated configuration changes. The instance that places
// layers computed its plan anew after each change, although neither the model nor an
// engine had changed, and all its streams stalled for half a second. A configuration
// that changes other things must cause no new plan.
func TestUnrelatedConfigChangesDoNotReplan(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 0)
		defer f.close()
		s := depot.Settings(0)
		s.Listen.Metrics = "10.1.0.1:9464"
		stop := f.runInstance(&edge.Instance{Settings: s, Log: zap.NewNop(), Dial: f.site.DialFrom(s.Instance.Name), Listen: f.site.Net.Listen})
		defer stop()
		time.Sleep(20 * time.Second)
		before := f.readMetric(s.Listen.Metrics, "fulmarwick_plans_total")
		for version := 2; version < 8; version++ {
			value := strings.Replace(string(f.site.Config(version)), "key-1", fmt.Sprintf("key-v%d", version), 1)
			f.site.Store.Put("op", "config", []byte(value))
			time.Sleep(time.Second)
		}
		if after := f.readMetric(s.Listen.Metrics, "fulmarwick_plans_total"); after != before || before == "0" {
			t.Errorf("got %s plans after six changes of API keys and %s before, want the same number and not 0", after, before)
		}
	})
}

// Guards against engines that stay empty while the store rejects the calls of the one
// instance that places layers: another instance takes over only after the lease
// expires.
func TestEngineIsPlacedWhilePlannerIsCutOff(t *testing.T) {
	for k := range 3 {
		t.Run(fmt.Sprint(k), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, 3)
				defer f.close()
				usual := f.timeToPlacement("first")
				name := depot.Settings(k).Instance.Name
				f.site.Store.SetFault(func(r *http.Request) stand.Fault {
					return stand.Fault{Unavailable: strings.HasPrefix(r.Header.Get("User-Agent"), name)}
				})
				time.Sleep(3300 * time.Millisecond)
				if took := f.timeToPlacement("second"); took > usual+time.Second {
					t.Errorf("got layers on a new engine after %s, want them at most 1s later than the usual %s", took, usual)
				}
			})
		})
	}
}

// timeToPlacement adds an engine and returns how long it takes until it holds layers.
func (f *fixture) timeToPlacement(name string) time.Duration {
	f.t.Helper()
	e := &stand.Engine{ID: name, Address: "10.1.64." + fmt.Sprint(90+len(f.site.Engines())) + ":8080", Zone: "east", Card: stand.DefaultDeployment.Cards[0]}
	start := time.Now()
	f.site.AddEngine(e)
	for time.Since(start) < 20*time.Second {
		if from, to := e.LoadedLayers(); to > from {
			return time.Since(start)
		}
		time.Sleep(50 * time.Millisecond)
	}
	f.t.Fatalf("got no layers on engine %s for 20s, want some", name)
	return 0
}

// Guards against engines that wait for a load slot although loads finish before the
// upstream list could show them, as when a whole site starts.
func TestQuickLoadsRunConcurrently(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 2)
		defer f.close()
		var added []*stand.Engine
		for k := range 30 {
			e := &stand.Engine{ID: fmt.Sprintf("new-%d", k), Address: fmt.Sprintf("10.1.64.%d:8080", 100+k), Zone: "east", Card: stand.DefaultDeployment.Cards[2]}
			added = append(added, e)
			f.site.AddEngine(e)
		}
		time.Sleep(2 * time.Second)
		for _, e := range added {
			if from, to := e.LoadedLayers(); to == from {
				t.Errorf("got no layers on %s after 2s, want some", e.ID)
			}
		}
	})
}
