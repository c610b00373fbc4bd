package member_test

import (
	"fmt"
	"testing"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/fleet/member"
	"fulmarwick/internal/fleet/proto"
)

func newTable(id spec.InstanceID) *member.Table {
	t := &member.Table{Local: proto.Record{ID: id, DataCentre: "klang", StartTime: 5}}
	t.Init()
	return t
}

// Two instances exchange records, and one knows hundreds of members. An answer
// has space for only a part of them. Each further answer must bring new ones,
// or a large fleet never learns its full membership.
func TestLargeTablesConvergeInParts(t *testing.T) {
	a, b := newTable("a"), newTable("b")
	for i := range 360 {
		a.ApplyRecord(0, proto.Record{ID: spec.InstanceID(fmt.Sprintf("i%03d", i)), DataCentre: "klang", URL: "https://10.0.0.1:7000"})
	}
	for round := range 64 {
		records, complete := a.DifferingRecords(b.Checksums(), 2000, round*7)
		for _, r := range records {
			b.ApplyRecord(0, r)
		}
		if complete && len(records) > 0 {
			break
		}
	}
	if got, want := b.Len(), a.Len()+1; got != want {
		t.Errorf("got %d rows, want %d", got, want)
	}
	if !b.IsLive("i359") || !b.IsLive("i000") {
		t.Errorf("got some instances missing, want all")
	}
}

func TestRecordsMergeByStartTimeIncarnationAndState(t *testing.T) {
	for _, c := range []struct {
		name string
		rec  proto.Record
		want proto.State
	}{
		{"same incarnation, suspect", proto.Record{StartTime: 5, Incarnation: 3, State: proto.StateSuspect}, proto.StateSuspect},
		{"older incarnation, dead", proto.Record{StartTime: 5, Incarnation: 2, State: proto.StateDead}, proto.StateAlive},
		{"same incarnation, dead", proto.Record{StartTime: 5, Incarnation: 3, State: proto.StateDead}, proto.StateDead},
		{"older start time, left", proto.Record{StartTime: 4, Incarnation: 9, State: proto.StateLeft}, proto.StateAlive},
		{"later start time", proto.Record{StartTime: 6, State: proto.StateAlive}, proto.StateAlive},
	} {
		m := newTable("a")
		m.ApplyRecord(0, proto.Record{ID: "x", DataCentre: "klang", StartTime: 5, Incarnation: 3})
		c.rec.ID, c.rec.DataCentre = "x", "klang"
		m.ApplyRecord(0, c.rec)
		if got, _ := m.Get("x"); got.State != c.want {
			t.Errorf("got %v after %s, want %v", got.State, c.name, c.want)
		}
	}
}

// An instance learns that it was declared dead, or that a former process of it
// had a later start time because its clock went back. It must refute both so
// that all peers accept its records.
func TestLocalInstanceRefutes(t *testing.T) {
	m := newTable("a")
	m.ApplyRecord(0, proto.Record{ID: "a", StartTime: 5, Incarnation: 4, State: proto.StateDead})
	if got := m.Local; got.Incarnation != 5 || got.State != proto.StateAlive {
		t.Errorf("got %+v, want incarnation 5 alive", got)
	}
	m.ApplyRecord(0, proto.Record{ID: "a", StartTime: 9})
	if got := m.Local.StartTime; got != 10 {
		t.Errorf("got start time %d, want 10", got)
	}
}

func TestConfirmationsShortenSuspicion(t *testing.T) {
	for confirms, want := range map[int]time.Duration{0: member.MaxSuspicionTimeout, 3: member.MinSuspicionTimeout} {
		m := newTable("a")
		for _, id := range []spec.InstanceID{"b", "c", "d", "e", "x"} {
			m.ApplyRecord(0, proto.Record{ID: id, DataCentre: "klang"})
		}
		m.Suspect(0, "x")
		for i := range confirms {
			m.ApplyRecord(0, proto.Record{ID: "x", DataCentre: "klang", State: proto.StateSuspect, SuspectedBy: spec.InstanceID(fmt.Sprint("o", i))})
		}
		m.Tick(want - time.Millisecond)
		if !m.IsLive("x") {
			t.Errorf("got dead before %v with %d confirms, want suspect", want, confirms)
		}
		m.Tick(want)
		if m.IsLive("x") {
			t.Errorf("got suspect at %v with %d confirms, want dead", want, confirms)
		}
	}
}
