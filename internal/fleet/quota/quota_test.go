package quota_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"fulmarwick/internal/base/news"
	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/fleet/proto"
	"fulmarwick/internal/fleet/quota"

	"pgregory.net/rapid"
)

// Compares the sketch with a naive count of all teams. It must never count too
// little, its error bound must hold, and a team with more than 1/Size of the
// total must be in it.
func TestSketchAgainstNaiveCount(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := quota.Sketch{Size: 8}
		naive := map[spec.TeamID]float64{}
		total := 0.0
		for _, u := range rapid.SliceOfN(rapid.IntRange(0, 400), 1, 300).Draw(t, "uses") {
			team, tokens := spec.TeamID(fmt.Sprint(u%40)), float64(1+u/40)
			s.Add(team, tokens)
			naive[team] += tokens
			total += tokens
		}
		in := map[spec.TeamID]bool{}
		for _, c := range s.Top(8) {
			in[c.Team()] = true
			if got, want := c.Tokens(), naive[c.Team()]; got < want || got-c.Error() > want {
				t.Errorf("got %v with error %v, want %v within", got, c.Error(), want)
			}
		}
		for team, tokens := range naive {
			if tokens > total/8 && !in[team] {
				t.Errorf("got no %s in the sketch, want it: %v of %v", team, tokens, total)
			}
		}
	})
}

func TestSketchFindsHeavyTeamsAmongThousands(t *testing.T) {
	s := quota.Sketch{Size: 128}
	random := rand.New(rand.NewPCG(1, 2))
	for range 200_000 {
		s.Add(spec.TeamID(fmt.Sprint("small-", random.IntN(37_000))), 1)
		if random.IntN(20) == 0 {
			s.Add(spec.TeamID(fmt.Sprint("large-", random.IntN(4))), 5)
		}
	}
	for i, c := range s.Top(4) {
		if c.Team()[:5] != "large" {
			t.Errorf("got %s at place %d, want a large team", c.Team(), i)
		}
	}
}

func TestSharesAreReplacedAndExpire(t *testing.T) {
	var s quota.Aggregator
	s.SetShare(0, "a", proto.Share{HasRates: true, Rates: []proto.Rate{{TeamHash: 1, Rate: 10}}, HasLoads: true, Loads: []proto.Load{{Engine: "e", Active: 2}}})
	s.SetShare(0, "b", proto.Share{HasRates: true, Rates: []proto.Rate{{TeamHash: 1, Rate: 5}}})
	s.SetShare(0, "a", proto.Share{HasLoads: true})
	all := func(spec.UpstreamID) bool { return true }
	if got := s.Loads(all); len(got) != 0 {
		t.Errorf("got loads %v, want none after an empty share", got)
	}
	if got := s.Rates(); len(got) != 1 || got[0].Rate != 15 {
		t.Errorf("got rates %v, want 15", got)
	}
	s.Remove("a")
	if got := s.Rates(); len(got) != 1 || got[0].Rate != 5 {
		t.Errorf("got rates %v after a death, want 5", got)
	}
	s.Tick(time.Minute)
	if got := s.Rates(); len(got) != 0 {
		t.Errorf("got rates %v after the TTL, want none", got)
	}
}

func TestSmallTeamsAreOmitted(t *testing.T) {
	var s quota.Aggregator
	var share proto.Share
	share.HasRates = true
	for i := range 30 {
		share.Rates = append(share.Rates, proto.Rate{TeamHash: uint64(i), Rate: 1})
	}
	share.Rates[7].Rate = 1000
	s.SetShare(0, "a", share)
	if got := s.Rates(); len(got) != 1 || got[0] != (news.RateSum{Team: 7, Rate: 1000}) {
		t.Errorf("got %v, want the one heavy team", got)
	}
}

func TestPeerUsageAddsToLocal(t *testing.T) {
	var v quota.FleetUsage
	var local quota.LocalUsage
	local.SetRate(0, "big", 100)
	local.ReportRates()
	sum := news.RateSum{Team: proto.TeamHash("big"), Rate: 400}
	v.SetCentreRates(0, "klang", time.Second, []news.RateSum{sum})
	v.SetCentreRates(0, "penang", time.Second, []news.RateSum{sum})
	local.SetRate(0, "big", 150)
	if got := v.ChangedTeams(0, &local); len(got) != 1 || got[0].Rate != 850 {
		t.Errorf("got %v, want 700 of peers and 150 local", got)
	}
	if got := v.ChangedTeams(0, &local); len(got) != 0 {
		t.Errorf("got %v again, want nothing unchanged", got)
	}
	if got := v.ChangedTeams(5*time.Second, &local); len(got) != 1 || got[0].Rate != 850 {
		t.Errorf("got %v after a while, want the same once more", got)
	}
	v.Tick(2 * time.Second)
	if got := v.ChangedTeams(2*time.Second, &local); len(got) != 1 || got[0].Rate != 150 {
		t.Errorf("got %v after the TTL, want the local 150", got)
	}
}
