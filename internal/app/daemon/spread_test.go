package daemon_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"fulmarwick/internal/fakes/trial"
	"fulmarwick/internal/wire/admin"
)

// operators returns a client for the operators' endpoint of each instance.
func (e *cluster) operators() map[string]*admin.Client {
	out := map[string]*admin.Client{}
	for name, p := range e.live {
		out[name] = &admin.Client{
			Base: "http://" + p.address(e.t, "daemon: serving operators"),
			HTTP: &http.Client{Transport: &http.Transport{}},
		}
	}
	return out
}

func targetDraft(first time.Duration) admin.Draft {
	text := fmt.Sprintf("[class answer]\nkind = model\nmodel = %s\nfirst = %s\ngap = 100ms\npercent = 95\n", trial.Model, first)
	return admin.Draft{By: "siti", Documents: []admin.Document{{Name: "answer.ini", Text: text}}}
}

// waitVersion waits until the version is active on every instance. It fails if
// the version of an instance ever decreases.
func (e *cluster) waitVersion(version uint64) {
	e.t.Helper()
	for name, c := range e.operators() {
		for last := uint64(0); last < version; {
			s, err := c.Status(e.ctx)
			if err != nil {
				e.t.Fatalf("got %v from %s, want its status", err, name)
			}
			if s.Version < last {
				e.t.Fatalf("got version %d at %s after %d, want none lower", s.Version, name, last)
			}
			last = s.Version
			if last < version {
				pause(e.ctx)
			}
		}
	}
}

// An operator changes a target at one instance. The change must become active
// on all four. A new instance that replaces one of them must have it as well,
// and never an older version.
func TestChangeIsInForceEverywhereAndStays(t *testing.T) {
	e := newCluster(t, 4)
	for i := range 3 {
		applied, err := e.operators()["klang-2"].Apply(e.ctx, targetDraft(time.Duration(2+i)*time.Second))
		if err != nil {
			t.Fatal(err)
		}
		e.waitVersion(applied.Version)
		e.remove(fmt.Sprintf("klang-%d", []int{1, 3, 4}[i])).kill()
		joined := e.start(trial.Centre)
		e.ready(joined)
		s, err := e.operators()[joined].Status(e.ctx)
		if err != nil || s.Version < applied.Version {
			t.Errorf("got version %d and %v at a new instance that is ready, want %d", s.Version, err, applied.Version)
		}
	}
}

// BenchmarkInForce measures the time until an accepted change is active on four
// instances that run as processes.
func BenchmarkInForce(b *testing.B) {
	e := newCluster(b, 4)
	worst := time.Duration(0)
	total := time.Duration(0)
	for i := range b.N {
		applied, err := e.operators()["klang-1"].Apply(e.ctx, targetDraft(time.Duration(1+i%9)*time.Second))
		if err != nil {
			b.Fatal(err)
		}
		at := time.Now()
		e.waitVersion(applied.Version)
		took := time.Since(at)
		total += took
		worst = max(worst, took)
	}
	b.ReportMetric(float64(total.Milliseconds())/float64(b.N), "mean-ms")
	b.ReportMetric(float64(worst.Milliseconds()), "max-ms")
}
