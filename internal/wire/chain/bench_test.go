package chain_test

import (
	"context"
	"fmt"
	"net/http/httptest"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/fakes/layer"
	"fulmarwick/internal/route/domain"
	"fulmarwick/internal/wire/chain"
	"fulmarwick/internal/wire/engine"
)

const benchTokens = 256

// fixedRouter always gives the same chain.
type fixedRouter struct {
	chain spec.Chain
}

func (f *fixedRouter) Post(domain.Event) {}

func (f *fixedRouter) Watch(id spec.RequestID) <-chan domain.Command {
	ch := make(chan domain.Command, 1)
	ch <- domain.Start{Request: id, Attempt: 1, Chain: f.chain, Depth: depth}
	return ch
}

func (f *fixedRouter) Unwatch(spec.RequestID) {}

// longText returns a prompt whose answer has benchTokens tokens.
func longText() string {
	for i := 0; ; i++ {
		text := fmt.Sprint("notice ", i)
		if len(layer.Generate(text, depth, benchTokens)) == benchTokens {
			return text
		}
	}
}

// cpuTime returns the CPU time that this process has used so far. Other work
// on the machine affects it less than wall-clock time.
func cpuTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkRun streams answers through package chain and the engine client
// over loopback. The fake engines answer at once; they share the CPU with the
// code under test, and their allocations are counted too.
func BenchmarkRun(b *testing.B) {
	text := longText()
	for _, stages := range []int{1, 3} {
		for _, callers := range []int{1, 64} {
			b.Run(fmt.Sprintf("stages=%d/callers=%d", stages, callers), func(b *testing.B) {
				pool := &engine.Pool{}
				defer pool.Close()
				router := &fixedRouter{}
				for i := range stages {
					name := fmt.Sprint("e", i)
					e := newEngine(name, depth, i*depth/stages, (i+1)*depth/stages)
					e.LayerTime, e.Slots = 0, 64
					server := httptest.NewServer(e.Handler())
					defer server.Close()
					pool.SetAddress(spec.UpstreamID(name), server.URL)
					router.chain = append(router.chain, stageOn(name, i*depth/stages, (i+1)*depth/stages))
				}
				r := &chain.Runner{Engines: pool, Router: router}
				var next atomic.Int64
				b.SetParallelism(callers)
				start := cpuTime(b)
				b.ReportAllocs()
				runOnce := func() {
					job := chain.Job{Text: text, Arrived: domain.RequestArrived{
						Request: spec.RequestID(fmt.Sprint(next.Add(1))), Model: model, MaxTokens: benchTokens,
					}}
					ctx, cancel := context.WithCancel(b.Context())
					defer cancel()
					if _, err := r.Run(ctx, job, func(chain.Token) error { return nil }); err != nil {
						b.Error(err)
					}
				}
				if callers == 1 {
					for b.Loop() {
						runOnce()
					}
				} else {
					b.RunParallel(func(pb *testing.PB) {
						for pb.Next() {
							runOnce()
						}
					})
				}
				b.ReportMetric(float64(cpuTime(b)-start)/float64(next.Load()*benchTokens), "cpu-ns/token")
				b.ReportMetric(float64(next.Load())*benchTokens/b.Elapsed().Seconds(), "tokens/s")
			})
		}
	}
}
