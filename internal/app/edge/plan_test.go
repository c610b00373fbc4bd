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

	"go.uber.org/zap"
)

// metric reads a counter of an instance with that metrics address.
func (w *world) metric(address, name string) string {
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
func TestOtherChangesPlanNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := open(t, 0)
		defer w.close()
		s := depot.Settings(0)
		s.Listen.Metrics = "10.1.0.1:9464"
		stop := w.run(&edge.Instance{Settings: s, Log: zap.NewNop(), Dial: w.site.Dial, Listen: w.site.Net.Listen})
		defer stop()
		time.Sleep(20 * time.Second)
		before := w.metric(s.Listen.Metrics, "fulmarwick_plans_total")
		for version := 2; version < 8; version++ {
			value := strings.Replace(string(w.site.Config(version)), "key-1", fmt.Sprintf("key-v%d", version), 1)
			w.site.Store.Put("op", "config", []byte(value))
			time.Sleep(time.Second)
		}
		if after := w.metric(s.Listen.Metrics, "fulmarwick_plans_total"); after != before || before == "0" {
			t.Errorf("got %s plans after six changes of keys and %s before, want no more", after, before)
		}
	})
}
