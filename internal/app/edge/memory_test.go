package edge_test

import (
	"fmt"
	"net/http"
	"runtime"
	"sync"
	"testing"
	"time"

	"fulmarwick/internal/app/edge"
	"fulmarwick/internal/fakes/depot"
	"fulmarwick/platform/stand"

	"go.uber.org/zap"
)

// BenchmarkMemoryInUse measures the memory of an instance on a real clock: idle after
// its start, and with 200 streams in progress. The platform's stand-in and the callers
// share the process; their memory is subtracted only as far as it was in use before
// the instance started.
func BenchmarkMemoryInUse(b *testing.B) {
	for b.Loop() {
		site := stand.NewSite()
		site.Store.Put("op", "config", site.Config(1))
		site.AddUpstreams()
		before := memoryInUse()
		i := &edge.Instance{Settings: depot.Settings(0), Log: zap.NewNop(), Dial: site.Dial, Listen: site.Net.Listen}
		var ended sync.WaitGroup
		ended.Go(func() {
			if err := i.Run(b.Context()); err != nil {
				b.Error(err)
			}
		})
		time.Sleep(9 * time.Second)
		idle := memoryInUse()
		client := &http.Client{Transport: &http.Transport{DialContext: site.Dial}}
		var callers sync.WaitGroup
		for n := range 200 {
			callers.Go(func() {
				req, err := stand.NewRequest(b.Context(), http.MethodPost, "http://"+depot.Settings(0).Listen.Callers+"/write/1", fmt.Sprintf("m%d", n), "600,300")
				if err != nil {
					b.Error(err)
					return
				}
				resp, err := client.Do(req)
				if err != nil {
					b.Error(err)
					return
				}
				defer func() { _ = resp.Body.Close() }()
				var a callerResponse
				a.readEvents(resp.Body, time.Now())
			})
		}
		time.Sleep(time.Second)
		loaded := memoryInUse()
		callers.Wait()
		client.CloseIdleConnections()
		i.Stop()
		ended.Wait()
		site.Close()
		b.ReportMetric(float64(idle-before)/1e6, "idle-MB")
		b.ReportMetric(float64(loaded-before)/1e6, "loaded-MB")
	}
}

// memoryInUse returns the heap and stack memory in use after a garbage collection, in
// bytes.
func memoryInUse() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapInuse + m.StackInuse)
}
