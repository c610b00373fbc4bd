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

// readMetric reads a counter of an instance with that metrics address.
func (w *fixture) readMetric(address, name string) string {
	w.t.Helper()
	client := &http.Client{Transport: &http.Transport{DialContext: w.site.Dial}}
	defer client.CloseIdleConnections()
	resp, err := client.Get("http://" + address + "/metrics")
	if err != nil {
		w.t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		w.t.Fatal(err)
	}
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(line, name+" "); ok {
			return strings.TrimSpace(value)
		}
	}
	w.t.Fatalf("got no %s in the metrics, want it", name)
	return ""
}

// Callers of one instance saw all their streams stand still for half a second
// after each change of the configuration: it placed layers, and worked the plan
// out anew though no change touched the model or an engine. Configurations that
// change other things must plan nothing.
func TestUnrelatedConfigChangesDoNotReplan(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newFixture(t, 0)
		defer w.close()
		s := depot.Settings(0)
		s.Listen.Metrics = "10.1.0.1:9464"
		stop := w.runInstance(&edge.Instance{Settings: s, Log: zap.NewNop(), Dial: w.site.Dial, Listen: w.site.Net.Listen})
		defer stop()
		time.Sleep(20 * time.Second)
		before := w.readMetric(s.Listen.Metrics, "fulmarwick_plans_total")
		for version := 2; version < 8; version++ {
			value := strings.Replace(string(w.site.Config(version)), "key-1", fmt.Sprintf("key-v%d", version), 1)
			w.site.Store.Put("op", "config", []byte(value))
			time.Sleep(time.Second)
		}
		if after := w.readMetric(s.Listen.Metrics, "fulmarwick_plans_total"); after != before || before == "0" {
			t.Errorf("got %s plans after six changes of keys and %s before, want no more", after, before)
		}
	})
}

// Guards against engines that stay empty for as long as the store refuses the one
// instance that places layers: others take that duty over only after its time.
func TestEngineIsPlacedWhilePlannerIsCutOff(t *testing.T) {
	for k := range 3 {
		t.Run(fmt.Sprint(k), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newFixture(t, 3)
				defer w.close()
				usual := w.timeToPlacement("first")
				cut := depot.Settings(k).Instance.Name
				w.site.Store.SetFault(func(r *http.Request) stand.Fault {
					return stand.Fault{Unavailable: strings.HasPrefix(r.Header.Get("User-Agent"), cut)}
				})
				time.Sleep(3300 * time.Millisecond)
				if took := w.timeToPlacement("second"); took > usual+time.Second {
					t.Errorf("got an engine that holds layers after %s, want a second more than the usual %s at most", took, usual)
				}
			})
		})
	}
}

// timeToPlacement adds an engine and returns after how long it holds layers.
func (w *fixture) timeToPlacement(name string) time.Duration {
	w.t.Helper()
	e := &stand.Engine{ID: name, Address: "10.1.64." + fmt.Sprint(90+len(w.site.Engines())) + ":8080", Zone: "east", Card: stand.DefaultDeployment.Cards[0]}
	start := time.Now()
	w.site.AddEngine(e)
	for time.Since(start) < 20*time.Second {
		if from, to := e.LoadedLayers(); to > from {
			return time.Since(start)
		}
		time.Sleep(50 * time.Millisecond)
	}
	w.t.Fatalf("got no layers on engine %s for 20s, want some", name)
	return 0
}

// Guards against engines that wait for their turn to load though loads end before the
// list could tell of them, as when a whole site starts.
func TestQuickLoadsRunConcurrently(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newFixture(t, 2)
		defer w.close()
		var added []*stand.Engine
		for k := range 30 {
			e := &stand.Engine{ID: fmt.Sprintf("new-%d", k), Address: fmt.Sprintf("10.1.64.%d:8080", 100+k), Zone: "east", Card: stand.DefaultDeployment.Cards[2]}
			added = append(added, e)
			w.site.AddEngine(e)
		}
		time.Sleep(2 * time.Second)
		for _, e := range added {
			if from, to := e.LoadedLayers(); to == from {
				t.Errorf("got no layers on %s after 2s, want some", e.ID)
			}
		}
	})
}
