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

// startDeployment is a fleet of engines that serves when instances start.
type startDeployment struct {
	name string
	// fast and slow are indexes of cards: one chain of the fast card, two of the slow one.
	fast, slow int
	// layers is how many layers each engine holds.
	layers int
	demand path.Demand
}

var startDeployments = []startDeployment{
	{name: "large cards", fast: 0, slow: 1, layers: 20, demand: typicalDemand},
	{name: "small cards, short prompts", fast: 1, slow: 2, layers: 10, demand: path.Demand{Prompt: 300, Answer: 900}},
	{name: "unlike cards, long prompts", fast: 0, slow: 2, layers: 8, demand: path.Demand{Prompt: 1500, Answer: 100}},
}

// upstreams returns the engines, those of the fast chain first.
func (d startDeployment) upstreams() []site.Upstream {
	var ups []site.Upstream
	for k, card := range []int{d.fast, d.slow, d.slow} {
		for from := 0; from < model().Layers; from += d.layers {
			ups = append(ups, engine(fmt.Sprintf("%d-%d", k, from), cards[card].Name, "east", from, from+d.layers))
		}
	}
	return ups
}

// replayStart starts instances together while the fast engines still hold requests of
// earlier processes, and returns how many of all requests exceed the memory of an engine.
// If surveyed is set, the instances know the reports of the engines.
func (d startDeployment) replayStart(surveyed bool) (refused, all int) {
	ups := d.upstreams()
	random := rand.New(rand.NewPCG(1, 2))
	var tables []*path.Table
	for range startingInstances {
		tab := table(ups...)
		tab.Random, tab.PeerCount = random.Float64, func() int { return startingInstances - 1 }
		tables = append(tables, tab)
	}
	free := map[spec.UpstreamID]float64{}
	chainLen := model().Layers / d.layers
	for i, up := range ups {
		card, _ := model().Card(up.Card)
		capacity := model().KVCapacity(card, d.layers)
		report := site.Report{Born: 1, KVTotal: capacity}
		if i < chainLen {
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
			all++
			chain, err := tab.Choose(at, d.demand, nil)
			if err != nil {
				refused++
				continue
			}
			tab.Begin(chain, d.demand)
			if !takeMemory(free, chain, d.demand) {
				refused++
			}
		}
	}
	return refused, all
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
func takeMemory(free map[spec.UpstreamID]float64, chain spec.Chain, d path.Demand) bool {
	for _, s := range chain {
		if free[s.Engine()] < float64((d.Prompt+d.Answer)*s.Layers().Len()) {
			return false
		}
	}
	for _, s := range chain {
		free[s.Engine()] -= float64((d.Prompt + d.Answer) * s.Layers().Len())
	}
	return true
}

// Guards against overloading engines that still hold the requests of earlier processes when
// all instances start together.
func TestStartingInstancesCountLeftoverRequests(t *testing.T) {
	for _, d := range startDeployments {
		t.Run(d.name, func(t *testing.T) {
			without, all := d.replayStart(false)
			if without < all/4 {
				t.Errorf("got %d of %d requests refused without reports, want a load under which a quarter is", without, all)
			}
			if refused, _ := d.replayStart(true); refused > all/20 {
				t.Errorf("got %d of %d requests refused (%d without reports), want one in twenty at most", refused, all, without)
			}
		})
	}
}

// Guards against counting the requests of other instances twice after one instance
// restarts: they are in the reports of the engines as well.
func TestKnownRequestsAreNoLeftover(t *testing.T) {
	tab := table(startDeployments[0].upstreams()...)
	const cells = 500000
	for _, id := range []spec.UpstreamID{"0-0", "0-20", "0-40", "0-60"} {
		tab.RecordLeftover(0, id, site.Report{Born: 1, KVUsed: cells, Active: 25})
	}
	alone := tab.MaxUtilization(0)
	usage := map[spec.UpstreamID]path.Usage{}
	for _, id := range []spec.UpstreamID{"0-0", "0-20", "0-40", "0-60"} {
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
	tab := table(startDeployments[0].upstreams()...)
	tab.RecordLeftover(0, "0-0", site.Report{Born: 1, KVUsed: 500000, Active: 25})
	if got := tab.MaxUtilization(10 * time.Second); got != 0 {
		t.Errorf("got a utilization of %.3f after 10 s, want 0", got)
	}
	tab.RecordLeftover(20*time.Second, "0-0", site.Report{Born: 7, KVUsed: 500000, Active: 25})
	if got := tab.MaxUtilization(20 * time.Second); got != 0 {
		t.Errorf("got a utilization of %.3f by the report of another process, want 0", got)
	}
}
