package frame_test

import (
	"bytes"
	"errors"
	"reflect"
	"testing"

	"fulmarwick/internal/base/frame"

	"github.com/fxamacker/cbor/v2"
)

func steps() []frame.Step {
	return []frame.Step{
		{Verb: frame.VerbRun, Req: "r", Try: 3, Seq: 1, Model: "m", To: 4, Text: "a door", Count: 9},
		{Verb: frame.VerbStep, Req: "r", Try: 3, Seq: 2, From: 4, To: 8, Pos: 7, Hidden: [][]byte{{1, 2}, {3}}, Prio: -1},
		{Verb: frame.VerbCancel, Req: "r"},
	}
}

func replies() []frame.Reply {
	return []frame.Reply{
		{Req: "r", Try: 3, Seq: 1, Hidden: [][]byte{{1}, {2}}, Next: 2, Took: 15},
		{Req: "r", Try: 3, Seq: 9, Token: 7, Text: "w7 ", Index: 8, End: true, Total: 9, Next: 12},
		{Req: "r", Code: frame.CodeGap, Reason: "no state"},
	}
}

func TestMessageIsSequenceOfFrames(t *testing.T) {
	var buf bytes.Buffer
	for _, s := range steps() {
		if err := frame.AppendStep(&buf, &s); err != nil {
			t.Fatal(err)
		}
	}
	data := buf.Bytes()
	for _, want := range steps() {
		var got frame.Step
		rest, err := frame.NextStep(data, &got)
		if err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(got, want) {
			t.Errorf("got %+v, want %+v", got, want)
		}
		data = rest
	}
	if len(data) != 0 {
		t.Errorf("got %d bytes left, want 0", len(data))
	}
}

// A broken or hostile engine sends negative or huge numbers. The codec rejects them
// while it reads the reply, since later arithmetic uses them as lengths.
func TestOutOfRangeNumbersAreRejected(t *testing.T) {
	for name, r := range map[string]frame.Reply{
		"position": {Pos: -1}, "next": {Next: 1 << 40}, "index": {Index: -5},
		"total": {Total: 1 << 31}, "layer": {From: 1 << 20}, "time": {Took: -1},
	} {
		t.Run(name, func(t *testing.T) {
			var buf bytes.Buffer
			if err := frame.AppendReply(&buf, &r); err != nil {
				t.Fatal(err)
			}
			var got frame.Reply
			if _, err := frame.NextReply(buf.Bytes(), &got); !errors.Is(err, frame.ErrInvalidFrame) {
				t.Errorf("got %v, want ErrInvalidFrame", err)
			}
		})
	}
}

func FuzzNextStep(f *testing.F) {
	for _, s := range steps() {
		data, _ := cbor.Marshal(s)
		f.Add(data)
	}
	f.Add([]byte{0xbf, 0x01})
	f.Fuzz(func(t *testing.T, data []byte) {
		var s frame.Step
		rest, err := frame.NextStep(data, &s)
		if err == nil && (s.From < 0 || s.To < 0 || s.Pos < 0 || s.Count < 0 || len(rest) >= len(data)) {
			t.Errorf("got %+v accepted with %d of %d bytes left, want ErrInvalidFrame", s, len(rest), len(data))
		}
	})
}

func FuzzNextReply(f *testing.F) {
	for _, r := range replies() {
		data, _ := cbor.Marshal(r)
		f.Add(data)
	}
	f.Add([]byte{0x9f, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		var r frame.Reply
		rest, err := frame.NextReply(data, &r)
		if err == nil && (r.Pos < 0 || r.Next < 0 || r.Index < 0 || r.Total < 0 || r.Took < 0 || len(rest) >= len(data)) {
			t.Errorf("got %+v accepted with %d of %d bytes left, want ErrInvalidFrame", r, len(rest), len(data))
		}
	})
}
