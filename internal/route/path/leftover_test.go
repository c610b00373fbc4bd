package path_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"fulmarwick/internal/base/site"
	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/path"
)

const (
	// startingInstances is how many instances start together in replayStart.
	startingInstances = 12
	// requestsPerStart is how many requests each of them starts, one every startPause.
	requestsPerStart = 6
	startPause       = 60 * time.Millisecond
	// exchangePause is how often the instances learn of each other's requests.
	exchangePause = 200 * time.Millisecond
)

// fastAndSlowChains returns a chain of fast engines and two of slower ones with less memory.
func fastAndSlowChains() []site.Upstream {
	var ups []site.Upstream
	for i := range 4 {
		ups = append(ups, engine(fmt.Sprintf("f%d", i), "a100", "east", 20*i, 20*i+20),
			engine(fmt.Sprintf("s%d", i), "l40s", "east", 20*i, 20*i+20), engine(fmt.Sprintf("t%d", i), "l40s", "east", 20*i, 20*i+20))
	}
	return ups
}

// replayStart starts instances together while the fast engines still hold requests of
// earlier processes, and returns how many requests exceed the memory of an engine.
// If surveyed is set, the instances know the reports of the engines.
func replayStart(t *testing.T, surveyed bool) (refused int) {
	t.Helper()
	ups := fastAndSlowChains()
	free := map[spec.UpstreamID]float64{}
	random := rand.New(rand.NewPCG(1, 2))
	var tables []*path.Table
	for range startingInstances {
		tab := table(ups...)
		tab.Random, tab.PeerCount = random.Float64, func() int { return startingInstances - 1 }
		tables = append(tables, tab)
	}
	for i, up := range ups {
		capacity := model().KVCapacity(cards[min(i%3, 1)], 20)
		report := site.Report{Born: 1, KVTotal: capacity}
		if i%3 == 0 {
			report.KVUsed, report.Active = capacity*9/10, 150
		}
		free[up.ID] = float64(capacity - report.KVUsed)
		for _, tab := range tables {
			if surveyed {
				tab.RecordLeftover(0, up.ID, report)
			}
		}
	}
	lastExchange := time.Duration(0)
	for at := time.Duration(0); at < requestsPerStart*startPause; at += startPause {
		if at-lastExchange >= exchangePause {
			lastExchange = at
			exchangeUsage(tables)
		}
		for _, tab := range tables {
			chain, err := tab.Choose(at, typicalDemand, nil)
			if err != nil {
				refused++
				continue
			}
			tab.Begin(chain, typicalDemand)
			if !takeMemory(free, chain) {
				refused++
			}
		}
	}
	return refused
}

// exchangeUsage tells each instance the usage by the requests of the others.
func exchangeUsage(tables []*path.Table) {
	for i, from := range tables {
		for k, to := range tables {
			if i != k {
				to.SetPeerUsage(spec.InstanceID(fmt.Sprintf("i%d", i)), from.LocalUsage())
			}
		}
	}
}

// takeMemory takes the memory of a request on the engines of a chain, or none if one of them
// has too little.
func takeMemory(free map[spec.UpstreamID]float64, chain spec.Chain) bool {
	for _, s := range chain {
		if free[s.Engine()] < float64((typicalDemand.Prompt+typicalDemand.Answer)*s.Layers().Len()) {
			return false
		}
	}
	for _, s := range chain {
		free[s.Engine()] -= float64((typicalDemand.Prompt + typicalDemand.Answer) * s.Layers().Len())
	}
	return true
}

// Guards against overloading engines that still hold the requests of earlier processes when
// all instances start together.
func TestStartingInstancesCountLeftoverRequests(t *testing.T) {
	if n := replayStart(t, false); n < startingInstances*requestsPerStart/4 {
		t.Errorf("got %d of %d requests refused without reports, want a load under which a quarter is", n, startingInstances*requestsPerStart)
	}
	if n := replayStart(t, true); n > startingInstances*requestsPerStart/20 {
		t.Errorf("got %d of %d requests refused, want one in twenty at most", n, startingInstances*requestsPerStart)
	}
}

// Guards against counting the requests of other instances twice after one instance
// restarts: they are in the reports of the engines as well.
func TestKnownRequestsAreNoLeftover(t *testing.T) {
	tab := table(fastAndSlowChains()...)
	const cells = 500000
	for _, id := range []spec.UpstreamID{"f0", "f1", "f2", "f3"} {
		tab.RecordLeftover(0, id, site.Report{Born: 1, KVUsed: cells, Active: 25})
	}
	alone := tab.MaxUtilization(0)
	usage := map[spec.UpstreamID]path.Usage{}
	for _, id := range []spec.UpstreamID{"f0", "f1", "f2", "f3"} {
		usage[id] = path.Usage{Streams: 25, Cells: cells}
	}
	tab.SetPeerUsage("other", usage)
	if got := tab.MaxUtilization(0); got != alone {
		t.Errorf("got a utilization of %.3f once another instance reports the requests, want %.3f as before", got, alone)
	}
	if got := tab.MaxUtilization(10 * time.Second); got != alone {
		t.Errorf("got a utilization of %.3f later, want %.3f by the known requests", got, alone)
	}
}

// Guards against keeping memory free for requests that have long ended.
func TestLeftoverRequestsEnd(t *testing.T) {
	tab := table(fastAndSlowChains()...)
	tab.RecordLeftover(0, "f0", site.Report{Born: 1, KVUsed: 500000, Active: 25})
	if got := tab.MaxUtilization(10 * time.Second); got != 0 {
		t.Errorf("got a utilization of %.3f after 10 s, want 0", got)
	}
	tab.RecordLeftover(20*time.Second, "f0", site.Report{Born: 7, KVUsed: 500000, Active: 25})
	if got := tab.MaxUtilization(20 * time.Second); got != 0 {
		t.Errorf("got a utilization of %.3f by the report of another process, want 0", got)
	}
}
