package shed_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"fulmarwick/internal/route/shed"
)

// flood is a load of three ranks on engines that read prompts one after another: the least urgent
// rank comes at several times its rate, and the most urgent one follows while engines are slow.
type flood struct {
	random *rand.Rand
	gates  []shed.Gate
	// backlog is how long the prompts that wait take to read.
	backlog float64
	// begins are the answers that have yet to begin.
	begins []begin
	result [3]outcome
}

type begin struct {
	at      time.Duration
	gate    int
	pending *shed.Pending
}

type outcome struct{ asked, inTime, refused int }

func (o outcome) share() float64 { return float64(o.inTime) / float64(o.asked) }

// Rates of the ranks in requests a second, the requests a second that the engines begin, and the
// targets of the ranks.
var (
	rates   = [3]float64{154, 81, 49}
	targets = [3]time.Duration{500 * time.Millisecond, 500 * time.Millisecond, time.Second}
)

const (
	capacity  = 440.0
	floodFrom = 4 * time.Second
	floodTo   = 13 * time.Second
	urgentAt  = 9 * time.Second
	tick      = time.Millisecond
	// firstEvent is the time to the first event without a backlog.
	firstEvent = 80 * time.Millisecond
)

func (f *flood) rate(now time.Duration, rank int) float64 {
	switch {
	case rank == 2 && now >= floodFrom && now < floodTo:
		return 3.2 * rates[rank]
	case rank == 0 && now >= urgentAt && now < floodTo:
		return 1.9 * rates[rank]
	}
	return rates[rank]
}

// run plays the load until a time and returns how the ranks were served.
func (f *flood) run(to time.Duration) {
	for now := time.Duration(0); now < to; now += tick {
		f.backlog = max(0, f.backlog-tick.Seconds())
		for rank := range rates {
			if f.random.Float64() < f.rate(now, rank)*tick.Seconds() {
				f.ask(now, rank)
			}
		}
		f.beginAnswers(now)
	}
}

func (f *flood) ask(now time.Duration, rank int) {
	gate := f.random.IntN(len(f.gates))
	f.result[rank].asked++
	if !f.gates[gate].Admit(now, rank) {
		f.result[rank].refused++
		return
	}
	f.backlog += 1 / capacity
	after := firstEvent + time.Duration(f.backlog*float64(time.Second))
	f.begins = append(f.begins, begin{at: now + after, gate: gate, pending: f.gates[gate].Await(now, rank, targets[rank])})
	if after <= targets[rank] {
		f.result[rank].inTime++
	}
}

func (f *flood) beginAnswers(now time.Duration) {
	kept := f.begins[:0]
	for _, b := range f.begins {
		if b.at > now {
			kept = append(kept, b)
			continue
		}
		f.gates[b.gate].RecordBegin(now, b.pending)
	}
	f.begins = kept
}

func newFlood(instances int, seed uint64, ranks []int) *flood {
	f := &flood{random: rand.New(rand.NewPCG(seed, 1)), gates: make([]shed.Gate, instances)}
	for k := range f.gates {
		f.gates[k].SetRanks(ranks)
	}
	return f
}

// Guards against urgent requests that are served worse than less urgent ones which came before them,
// and against callers of the least urgent rank who are starved or kept out after the flood.
func TestUrgentRequestsAreServedDuringFlood(t *testing.T) {
	for _, instances := range []int{4, 36, 117} {
		for seed := range uint64(5) {
			without := newFlood(instances, seed, nil)
			without.run(18 * time.Second)
			f := newFlood(instances, seed, []int{0, 1, 2})
			f.run(18 * time.Second)
			t.Logf("%d instances, seed %d: served in time %.3f, %.3f, %.3f, without a gate %.3f, %.3f, %.3f", instances, seed,
				f.result[0].share(), f.result[1].share(), f.result[2].share(), without.result[0].share(), without.result[1].share(), without.result[2].share())
			if got := without.result[0].share(); got >= 0.9 {
				t.Errorf("got %.3f of the most urgent requests served without a gate, want a load that is too much", got)
			}
			if got := f.result[0].share(); got < 0.9 {
				t.Errorf("%d instances, seed %d: got %.3f of the most urgent requests served in time, want nine in ten", instances, seed, got)
			}
			if f.result[0].share() < f.result[2].share() || f.result[2].share() < 0.25 {
				t.Errorf("%d instances, seed %d: got %.3f of the least urgent requests in time, want a quarter at least and no more than of the most urgent ones", instances, seed, f.result[2].share())
			}
			for k := range f.gates {
				if now := 24 * time.Second; !f.gates[k].Admit(now, 2) || f.gates[k].Closed(now) > 0 {
					t.Fatalf("got a gate closed by %.2f after the flood, want it open", f.gates[k].Closed(now))
				}
			}
		}
	}
}

// Guards against a gate that acts where all requests have one rank, or where nothing is late.
func TestGateIsOpenWithoutNeed(t *testing.T) {
	for name, test := range map[string]struct {
		ranks []int
		after time.Duration
	}{
		"one rank":       {[]int{1, 1, 1}, 10 * time.Second},
		"nothing late":   {[]int{0, 1, 2}, 30 * time.Millisecond},
		"ranks not told": {nil, 10 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			var g shed.Gate
			g.SetRanks(test.ranks)
			for now := time.Duration(0); now < 20*time.Second; now += 20 * time.Millisecond {
				rank := 1
				if len(test.ranks) > 0 {
					rank = test.ranks[int(now/time.Millisecond)/20%len(test.ranks)]
				}
				if !g.Admit(now, rank) {
					t.Fatalf("got a request of rank %d refused after %s, want all admitted", rank, now)
				}
				if p := g.Await(now, rank, 500*time.Millisecond); test.after < 500*time.Millisecond {
					g.RecordBegin(now+test.after/2, p)
				}
			}
		})
	}
}

// Guards against callers that are asked to return at the same time, or before the gate may be open.
func TestReturnsAreSpread(t *testing.T) {
	var g shed.Gate
	g.SetRanks([]int{0, 2})
	seen := map[time.Duration]int{}
	for range 30 {
		after := g.RetryAfter()
		seen[after.Truncate(time.Second)]++
		if after < 3*time.Second || after > 6*time.Second {
			t.Errorf("got a return after %s, want 3s to 6s", after)
		}
	}
	for at, n := range seen {
		if n > 12 {
			t.Errorf("got %d of 30 returns in the second from %s, want about a third", n, at)
		}
	}
}

// Guards against a gate that closes on requests of long ago, after a time without any.
func TestOldRequestsDoNotCloseGate(t *testing.T) {
	var g shed.Gate
	g.SetRanks([]int{0, 2})
	for range 20 {
		g.RecordRefusal(time.Second, 0)
	}
	for now := time.Minute; now < 65*time.Second; now += 50 * time.Millisecond {
		if !g.Admit(now, 2) {
			t.Fatalf("got a request refused at %s, want all admitted a minute after the last late one", now)
		}
	}
}

// Guards against answers that panic as they begin, since their requests were admitted before a configuration
// left one rank: their streams were cut.
func TestAnswersBeginAfterRanksChanged(t *testing.T) {
	sets := [][]int{{0, 1, 2}, {1}, {0, 2}, nil, {1, 2}}
	for seed := range uint64(50) {
		random := rand.New(rand.NewPCG(seed, 1))
		var g shed.Gate
		var pending []*shed.Pending
		for now := time.Duration(0); now < 20*time.Second; now += time.Duration(random.IntN(200)) * time.Millisecond {
			switch random.IntN(8) {
			case 0:
				g.SetRanks(sets[random.IntN(len(sets))])
			case 1:
				g.RecordRefusal(now, random.IntN(3))
			case 2, 3, 4:
				if rank := random.IntN(3); g.Admit(now, rank) {
					pending = append(pending, g.Await(now, rank, 500*time.Millisecond))
				}
			default:
				if n := len(pending); n > 0 {
					k := random.IntN(n)
					g.RecordBegin(now, pending[k])
					pending[k] = pending[n-1]
					pending = pending[:n-1]
				}
			}
		}
	}
}

// Guards against a gate that closes by requests which were admitted when other ranks were set.
func TestRequestsOfFormerRanksDoNotCloseGate(t *testing.T) {
	var g shed.Gate
	g.SetRanks([]int{0, 1})
	for range 20 {
		g.Await(0, 0, 500*time.Millisecond)
	}
	g.SetRanks([]int{0, 2})
	for now := time.Duration(0); now < 4*time.Second; now += 50 * time.Millisecond {
		if !g.Admit(now, 2) {
			t.Fatalf("got a request refused at %s, want all admitted: nothing was late since the ranks changed", now)
		}
	}
}
