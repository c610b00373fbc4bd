package node_test

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"testing"
	"time"

	"fulmarwick/internal/base/news"
	"fulmarwick/internal/fleet/node"
)

// fleetSize is the size of a benchmarked fleet.
type fleetSize struct {
	instances, centres, engines int
	teams                       int
}

func fleetSizes() []fleetSize {
	return []fleetSize{{4, 1, 30, 10}, {36, 1, 60, 40}, {120, 4, 60, 40}, {360, 10, 60, 40}}
}

func (s fleetSize) String() string { return fmt.Sprintf("instances=%d", s.instances) }

// publishWork makes every instance publish once a second what a busy one
// publishes: the load of the engines that it is the primary watcher of, its
// own work on every engine of its data centre, its usage by heavy teams and
// the free KV memory for each of five models.
func (f *fleet) publishWork(teams int) {
	for i, x := range f.instances {
		if !x.up || (f.now/tickInterval+time.Duration(i))%(time.Second/tickInterval) != 0 {
			continue
		}
		for _, e := range x.watch.Primary {
			seq := uint64(f.now / time.Second)
			f.publishFor(x, news.KindLevel, string(e), news.ScopeCentre, 5, news.LoadLevel{
				Incarnation: 1700000000, Seq: seq, Queued: rand.IntN(20), Active: rand.IntN(16), Cached: rand.IntN(100000),
			})
			f.publishFor(x, news.KindReport, string(e), news.ScopeCentre, 300, news.Report{
				Engine: string(e), URL: "http://10.0.0.1:9000", Data: make([]byte, 450),
			})
		}
		for _, e := range f.engines[x.self.DataCentre] {
			f.publishFor(x, news.KindLoad, string(e), news.ScopeCentre, 5, news.Load{Engine: string(e), Active: rand.IntN(8), Tokens: rand.IntN(4000)})
		}
		for t := range teams {
			f.publishFor(x, news.KindRate, "t", news.ScopeFleet, 5, news.Rate{Team: teamName(t), Rate: teamRate(t) * (0.9 + 0.2*rand.Float64())})
		}
		for m := range 5 {
			f.publishFor(x, news.KindSum, fmt.Sprintf("m%d", m), news.ScopeFleet, 10, news.FreeCapacity{DataCentre: string(x.self.DataCentre), Model: fmt.Sprintf("m%d", m), Free: rand.Float64()})
		}
	}
}

func teamName(t int) string { return fmt.Sprintf("%064d", t) }

// teamRate falls with the rank of a team, as real usage does.
func teamRate(t int) float64 { return 1000 / float64(1+t) }

func (f *fleet) publishFor(x *instance, kind news.Kind, key string, scope news.Scope, life int64, body any) {
	item, err := news.New(kind, key, scope, life*1000, body)
	if err != nil {
		f.t.Fatal(err)
	}
	x.events = append(x.events, node.Publish{Item: item})
}

// runWork advances the virtual time by d with every instance at work.
func (f *fleet) runWork(d time.Duration, teams int) {
	for end := f.now + d; f.now < end; {
		f.publishWork(teams)
		f.run(tickInterval)
	}
}

func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// BenchmarkFleetLogic measures the cost of the fleet logic per instance at
// work. Bytes are counted in both directions, with 70 per message for TLS, TCP
// and IP. Processor time is that of the logic with its codec.
func BenchmarkFleetLogic(b *testing.B) {
	for _, s := range fleetSizes() {
		b.Run(s.String(), func(b *testing.B) {
			for b.Loop() {
				before := heapBytes()
				f := newFleet(b, s.instances, s.centres, s.engines)
				f.idleInterval = 2 * tickInterval
				f.settle()
				f.runWork(20*time.Second, s.teams)
				const d = 30 * time.Second
				f.resetCounts()
				f.runWork(d, s.teams)
				f.reportControl(b, d)
				b.ReportMetric((heapBytes()-before)/float64(s.instances)/(1<<20), "MB/instance")
				runtime.KeepAlive(f)
			}
		})
	}
}

func (f *fleet) resetCounts() {
	for _, x := range f.instances {
		x.bytesSent, x.messagesSent, x.receivedAt, x.messagesReceived, x.cpuTime = 0, 0, map[string]time.Duration{}, 0, 0
		x.bytesReceived, x.expiryCount = 0, 0
	}
}

func (f *fleet) reportControl(b *testing.B, d time.Duration) {
	var sum, maxRate, msgs, cpu, maxCPU float64
	for _, x := range f.instances {
		total := float64(x.bytesSent+x.bytesReceived) / d.Seconds() / 1024
		sum += total
		maxRate = max(maxRate, total)
		msgs += float64(x.messagesSent+x.messagesReceived) / d.Seconds()
		cpu += x.cpuTime.Seconds() / d.Seconds() * 100
		maxCPU = max(maxCPU, x.cpuTime.Seconds()/d.Seconds()*100)
	}
	n := float64(len(f.instances))
	b.ReportMetric(sum/n, "KB/s")
	b.ReportMetric(maxRate, "KB/s-max")
	b.ReportMetric(msgs/n, "msgs/s")
	b.ReportMetric(cpu/n, "%core")
	b.ReportMetric(maxCPU, "%core-max")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkPropagation measures how long items take to reach all instances at
// work.
func BenchmarkPropagation(b *testing.B) {
	for _, s := range fleetSizes() {
		b.Run(s.String(), func(b *testing.B) {
			for b.Loop() {
				f := newFleet(b, s.instances, s.centres, s.engines)
				f.settle()
				f.runWork(3*time.Second, s.teams)
				b.ReportMetric(0, "ns/op")
				f.reportSpread(b, s, "head", news.KindHead, news.ScopeFleet)
				f.reportSpread(b, s, "leaving", news.KindLeaving, news.ScopeCentre)
				f.reportSpread(b, s, "print", news.KindPrint, news.ScopeFleet)
			}
		})
	}
}

// reportSpread publishes ten items one after another and reports how long they
// took to reach the instances of their scope.
func (f *fleet) reportSpread(b *testing.B, s fleetSize, name string, kind news.Kind, scope news.Scope) {
	var took []time.Duration
	for i := range 10 {
		from := f.instances[f.rand.IntN(len(f.instances))]
		ok := anyInstance
		if scope == news.ScopeCentre {
			ok = inCentre(from.self.DataCentre)
		}
		item := f.publish(from, kind, fmt.Sprintf("k%d", i), scope, news.Head{Version: uint64(i + 1)})
		begin := f.now
		f.runWork(3*time.Second, s.teams)
		for _, x := range f.instances {
			if x == from || !ok(x) {
				continue
			}
			if x.receivedAt[item] == 0 {
				b.Errorf("got no %s at %s after 3s", item, x.self.ID)
			}
			took = append(took, x.receivedAt[item]-begin)
		}
	}
	slices.Sort(took)
	b.ReportMetric(float64(took[len(took)/2].Milliseconds()), name+"-p50-ms")
	b.ReportMetric(float64(took[len(took)*99/100].Milliseconds()), name+"-p99-ms")
	b.ReportMetric(float64(took[len(took)-1].Milliseconds()), name+"-max-ms")
}

// BenchmarkDetection measures how long a death takes to be known in the data
// centre, and how many false suspicions and false deaths are reported in the
// two minutes before.
func BenchmarkDetection(b *testing.B) {
	for _, s := range []fleetSize{{4, 1, 30, 10}, {36, 1, 60, 10}} {
		for _, loss := range []float64{0, 0.05, 0.2} {
			b.Run(fmt.Sprintf("%v/loss=%v", s, loss), func(b *testing.B) {
				for b.Loop() {
					measureDetection(b, s, loss)
				}
			})
		}
	}
}

func measureDetection(b *testing.B, s fleetSize, loss float64) {
	f := newFleet(b, s.instances, s.centres, s.engines)
	f.settle()
	f.loss = loss
	before := f.suspicions()
	f.run(2 * time.Minute)
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(float64(f.suspicions()-before)/float64(s.instances)/2*60, "false-suspicions/instance-hour")
	b.ReportMetric(float64(f.expiryCount())/float64(s.instances)/2*60, "false-deaths-told/instance-hour")
	var took []time.Duration
	for _, unresponsive := range []bool{false, true} {
		for i := range 10 {
			took = append(took, f.timeDeathDetection(f.instances[i%s.instances], unresponsive))
		}
		slices.Sort(took)
		name := "crash"
		if unresponsive {
			name = "power-loss"
		}
		b.ReportMetric(float64(took[len(took)/2].Milliseconds()), name+"-p50-ms")
		b.ReportMetric(float64(took[len(took)-1].Milliseconds()), name+"-max-ms")
		took = nil
	}
}

// timeDeathDetection kills an instance, waits until the others of its data
// centre know, and starts it again. If unresponsive is set, its connections
// stay open.
func (f *fleet) timeDeathDetection(x *instance, unresponsive bool) time.Duration {
	f.keepsConnections = unresponsive
	for _, p := range f.instances {
		delete(p.expiredAt, x.self.ID)
	}
	f.kill(x)
	took := f.runUntil(time.Minute, "death known", func() bool {
		return !slices.ContainsFunc(f.instances, func(p *instance) bool {
			return p.up && p.self.DataCentre == x.self.DataCentre && p.expiredAt[x.self.ID] == 0
		})
	})
	f.keepsConnections = false
	f.start(x)
	f.run(15 * time.Second)
	return took
}

// BenchmarkDuties measures how many duties and watches a join moves.
func BenchmarkDuties(b *testing.B) {
	for _, s := range []fleetSize{{4, 1, 30, 0}, {36, 1, 60, 0}} {
		b.Run(s.String(), func(b *testing.B) {
			for b.Loop() {
				f := newFleet(b, s.instances, s.centres, s.engines)
				for i := range 1000 {
					f.duties = append(f.duties, fleetDuty(i))
				}
				for _, x := range f.instances {
					f.start(x)
				}
				late := f.instances[s.instances-1]
				f.kill(late)
				f.settle()
				before := f.dutyHolders(anyInstance)
				f.start(late)
				f.runUntil(20*time.Second, "ready joiner", func() bool { return late.readyAt != 0 })
				f.run(5 * time.Second)
				after := f.dutyHolders(anyInstance)
				moved := 0
				for _, h := range before {
					if _, same := slices.BinarySearch(after, h); !same {
						moved++
					}
				}
				b.ReportMetric(float64(moved)/10, "%duties-moved")
				b.ReportMetric(float64(1000-len(after)), "duties-unheld")
				b.ReportMetric(0, "ns/op")
			}
		})
	}
}
