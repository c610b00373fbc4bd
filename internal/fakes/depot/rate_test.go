package depot_test

import (
	"context"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"fulmarwick/internal/base/site"
	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/fakes/depot"
	"fulmarwick/internal/fakes/drive"
	"fulmarwick/internal/route/layout"
	"fulmarwick/platform/stand"
)

// predictedRate returns the rate that the planner predicts for the loaded layers of
// a site's engines: the sum over its data centres.
func predictedRate(s *stand.Site) float64 {
	m := &site.Model{
		Slots: 192, Layers: s.Deployment.Layers, LayerMB: s.Deployment.LayerMB, TokenBytes: s.Deployment.TokenBytes, PrefillRate: s.Deployment.PrefillRate,
		StepTime: 1020 * time.Microsecond, TimePerSequence: 7140 * time.Nanosecond, TimePer1kTokens: 9560 * time.Nanosecond, TypicalPrompt: s.Deployment.TypicalPrompt, TypicalAnswer: s.Deployment.TypicalAnswer,
	}
	byCentre := map[string][]layout.Engine{}
	for _, e := range s.Engines() {
		from, to := e.LoadedLayers()
		card := site.Card{Name: e.Card.Name, MemoryMB: e.Card.MemoryMB, StepFactor: e.Card.StepFactor, PrefillFactor: e.Card.PrefillFactor}
		byCentre[e.Zone] = append(byCentre[e.Zone], layout.Engine{ID: spec.UpstreamID(e.ID), Card: card, Held: spec.NewLayers(from, to)})
	}
	total := 0.0
	for _, engines := range byCentre {
		total += layout.Rate(m, engines)
	}
	return total
}

// TestPredictedRate prints the rate that the planner predicts and the highest rate
// at which the stand-in serves at least 19 of 20 requests within their target.
func TestPredictedRate(t *testing.T) {
	if os.Getenv("WORST") == "" {
		t.Skip("only prints figures; set WORST=1 to run it")
	}
	for _, s := range deployments[:3] {
		predicted, achieved := 0.0, 0.0
		for _, rate := range []float64{10, 20, 40, 60, 80, 100, 120, 140, 170, 200, 250, 300} {
			var got drive.Row
			synctest.Test(t, func(t *testing.T) {
				d := &depot.Depot{Instances: 4, Deployment: s.shape}
				if err := d.Open(context.Background()); err != nil {
					t.Fatal(err)
				}
				predicted = predictedRate(d.Site())
				w := usualWork()
				w.Duration = 8 * time.Second
				w.Classes = w.Classes[:1]
				w.Classes[0].Rate, w.Classes[0].Prompt, w.Classes[0].Answer, w.Classes[0].Retries = rate, s.shape.TypicalPrompt, s.shape.TypicalAnswer, 0
				report, err := d.NewRun(w).Do(context.Background())
				if err != nil {
					t.Error(err)
				}
				if err := d.Close(); err != nil {
					t.Error(err)
				}
				got = report.Total
			})
			if got.InTarget*20 < got.Asked*19 {
				break
			}
			achieved = rate
		}
		t.Logf("%s: predicted %.0f requests a second, achieved %.0f", s.name, predicted, achieved)
	}
}
