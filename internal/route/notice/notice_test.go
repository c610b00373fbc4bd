package notice_test

import (
	"testing"
	"time"

	"fulmarwick/internal/base/site"
	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/notice"
)

const second = time.Second

func upstream(id spec.UpstreamID, born int64) site.Upstream {
	return site.Upstream{ID: id, Service: "desk", Born: born}
}

// Guards against a backoff that is cut short: by a later, shorter one, by the list of
// upstreams, or by a new process with the same ID.
func TestLongestBackoffHolds(t *testing.T) {
	var b notice.Book
	b.Record(10*second, "a", 1, site.Notice{Backoff: 3 * second})
	b.Record(11*second, "a", 1, site.Notice{Backoff: second / 2})
	b.Apply(11*second, []site.Upstream{upstream("b", 1)})
	b.Apply(12*second, []site.Upstream{upstream("a", 2)})
	tests := []struct {
		at   time.Duration
		want bool
	}{{11 * second, false}, {13*second - 1, false}, {13 * second, true}}
	for _, test := range tests {
		if got := b.Accepts(test.at, "a"); got != test.want {
			t.Errorf("got requests accepted %v at %s, want %v", got, test.at, test.want)
		}
	}
	if !b.Accepts(11*second, "b") {
		t.Error("got another upstream in backoff as well, want only the one that asked")
	}
}

// Guards against an upstream that said that it leaves and is used again because the list
// still has it as ready, lost its row for a while, or was read without its start time.
func TestLeavingUpstreamStaysOutOfUse(t *testing.T) {
	var b notice.Book
	if !b.Record(second, "a", 0, site.Notice{Leaving: true}) || b.Record(2*second, "a", 1, site.Notice{Leaving: true}) {
		t.Error("got the notice new twice or never, want it new once")
	}
	list := []site.Upstream{upstream("a", 1), upstream("b", 1)}
	for _, now := range []time.Duration{2 * second, 20 * second, 300 * second} {
		got := b.Apply(now, list)
		if got[0].State != site.StateDraining || got[1].State != site.StateReady || b.Accepts(now, "a") {
			t.Errorf("got states %s and %s at %s, want only the first one draining", got[0].State, got[1].State, now)
		}
		b.Apply(now+second, list[1:])
	}
	if list[0].State != site.StateReady {
		t.Error("got the caller's list changed, want a copy")
	}
}

// Guards against a restarted upstream that is never used again, since its former process
// said that it leaves.
func TestNewProcessIsUsed(t *testing.T) {
	var b notice.Book
	b.Record(second, "a", 1, site.Notice{Leaving: true})
	if got := b.Apply(2*second, []site.Upstream{upstream("a", 2)}); got[0].State != site.StateReady || !b.Accepts(2*second, "a") {
		t.Errorf("got the new process %s, want it ready", got[0].State)
	}
}

func TestBackoffLeft(t *testing.T) {
	var b notice.Book
	b.Record(0, "a", 1, site.Notice{Backoff: 3 * second})
	b.Record(0, "b", 1, site.Notice{Backoff: 2 * second})
	draining := upstream("d", 1)
	draining.State = site.StateDraining
	tests := []struct {
		name string
		list []site.Upstream
		want time.Duration
	}{
		{"none listed", nil, 0},
		{"all back off", []site.Upstream{upstream("a", 1), upstream("b", 1), draining}, second},
		{"one accepts requests", []site.Upstream{upstream("a", 1), upstream("c", 1)}, 0},
	}
	for _, test := range tests {
		if got := b.BackoffLeft(second, test.list, nil); got != test.want {
			t.Errorf("%s: got %s, want %s", test.name, got, test.want)
		}
	}
}
