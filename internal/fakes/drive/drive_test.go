package drive_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"fulmarwick/internal/fakes/depot"
	"fulmarwick/internal/fakes/drive"
)

const smallWorkload = `
[load]
seconds = 6
[class draft]
path = /write/1
rate = 20
prompt = 400
answer = 60
[class booking]
path = /book/1
rate = 5
target = 300ms
deadline = 3s
[burst two]
at = 1s
for = 1s
times = 2
class = draft
[fault slow]
at = 2s
kind = slow
times = 1.1
`

// Each request of a workload without faults must be answered within its target.
// The report must cover all of them and be written as a table, as JSON and as a
// plot.
func TestCalmWorkload(t *testing.T) {
	work, err := drive.Parse([]byte(smallWorkload))
	if err != nil {
		t.Fatal(err)
	}
	var report drive.Report
	synctest.Test(t, func(t *testing.T) {
		d := &depot.Depot{Instances: 2}
		if err := d.Open(context.Background()); err != nil {
			t.Fatal(err)
		}
		seconds := 0
		run := d.NewRun(work)
		run.Progress = func(int, drive.Second) { seconds++ }
		if report, err = run.Do(context.Background()); err != nil {
			t.Error(err)
		}
		if err := d.Close(); err != nil {
			t.Error(err)
		}
		if seconds < 6 {
			t.Errorf("got %d progress reports, want 6", seconds)
		}
	})
	if all := report.Total; all.Asked < 100 || all.InTarget != all.Asked || all.Worth != 1 {
		t.Errorf("got %+v, want at least 100 requests, all within their target", all)
	}
	var table, doc, plot bytes.Buffer
	for name, err := range map[string]error{"table": report.Table(&table), "json": report.JSON(&doc), "plot": report.Plot(&plot)} {
		if err != nil {
			t.Errorf("got %v for the %s, want none", err, name)
		}
	}
	var back drive.Report
	if err := json.Unmarshal(doc.Bytes(), &back); err != nil || back.Total != report.Total || len(back.Seconds) != 6 {
		t.Errorf("got %+v (%v) back, want %+v and six seconds", back.Total, err, report.Total)
	}
	if !strings.Contains(table.String(), "draft") || !strings.HasPrefix(plot.String(), "<svg") {
		t.Errorf("got table %q and a plot that begins with %.20q, want the class and an SVG image", table.String(), plot.String())
	}
}

// The file and its seed determine the requests: two runs with the same seed
// must send the same number of them.
func TestSameSeedSendsTheSame(t *testing.T) {
	work, err := drive.Parse([]byte(smallWorkload))
	if err != nil {
		t.Fatal(err)
	}
	var asked [2]int
	for n := range asked {
		synctest.Test(t, func(t *testing.T) {
			d := &depot.Depot{Instances: 1}
			if err := d.Open(context.Background()); err != nil {
				t.Fatal(err)
			}
			report, err := d.NewRun(work).Do(context.Background())
			if err != nil {
				t.Error(err)
			}
			if err := d.Close(); err != nil {
				t.Error(err)
			}
			asked[n] = report.Total.Asked
		})
	}
	if asked[0] != asked[1] {
		t.Errorf("got %d and %d requests, want equal numbers", asked[0], asked[1])
	}
}

// An invalid file must be refused with an error that names all its problems.
func TestParseNamesAllFaults(t *testing.T) {
	_, err := drive.Parse([]byte("[load]\nseconds = never\n[class a]\npath = x\nrate = -1\nrates = 3\n[burst b]\nclass = none\n[fault f]\nkind = hail\n[what]\n"))
	if !errors.Is(err, drive.ErrInvalidWorkload) {
		t.Fatalf("got %v, want %v", err, drive.ErrInvalidWorkload)
	}
	for _, want := range []string{"seconds", "path", "rate: ", "rates is not known", "none", "hail", "[what]"} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("got %v, want it to name %q", err, want)
		}
	}
	if _, err := drive.Parse([]byte("[load]\nseconds = 3")); !errors.Is(err, drive.ErrInvalidWorkload) {
		t.Errorf("got %v without a class, want %v", err, drive.ErrInvalidWorkload)
	}
	if work, err := drive.Parse([]byte("[class a]\npath = /")); err != nil || work.Duration != 30*time.Second {
		t.Errorf("got %+v and %v, want 30s by default", work, err)
	}
}
