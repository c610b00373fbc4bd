package talk_test

import (
	"reflect"
	"testing"

	"fulmarwick/internal/base/news"
	"fulmarwick/internal/fleet/talk"

	"github.com/go-faster/errors"
)

func sampleMessage() *talk.Message {
	return &talk.Message{
		CallID: 7, AckID: 3, ProbeTarget: "b", HasDigest: true, Checksums: make([]byte, 64),
		Records:    []talk.Record{{ID: "a", DataCentre: "klang", URL: "https://10.0.0.1:1", StartTime: 9, Incarnation: 1, State: talk.StateSuspect, SuspectedBy: "c"}},
		Watermarks: []talk.Watermark{{StreamHash: 1, Stamp: 2}}, Wants: []talk.Watermark{{StreamHash: 5}},
		Blocks: []talk.Block{{Origin: "a", StartTime: 9, Scope: news.ScopeFleet, Watermark: 4, Items: []talk.Entry{{Kind: news.KindPrint, Key: "k", Stamp: 4, TTLMs: 5, Body: []byte{1}}}}},
		Share:  &talk.Share{HasLoads: true, Loads: []talk.Load{{Engine: "e", Active: 1, Tokens: 9}}, Rates: []talk.Rate{{TeamHash: 5, Rate: 2.5}}},
	}
}

func TestEncodeDecodeRoundTrip(t *testing.T) {
	data, err := talk.Encode(sampleMessage())
	if err != nil {
		t.Fatal(err)
	}
	got, err := talk.Decode(data)
	if err != nil || !reflect.DeepEqual(got, sampleMessage()) {
		t.Errorf("got %+v, %v; want what was encoded", got, err)
	}
}

func TestMalformedMessagesAreRejected(t *testing.T) {
	for name, spoil := range map[string]func(*talk.Message){
		"no member name": func(m *talk.Message) { m.Records[0].ID = "" },
		"state":          func(m *talk.Message) { m.Records[0].State = 9 },
		"incarnation":    func(m *talk.Message) { m.Records[0].Incarnation = 1 << 31 },
		"scope":          func(m *talk.Message) { m.Blocks[0].Scope = 5 },
		"stamp":          func(m *talk.Message) { m.Blocks[0].Items[0].Stamp = 1 << 60 },
		"no stamp":       func(m *talk.Message) { m.Blocks[0].Items[0].Stamp = 0 },
		"life":           func(m *talk.Message) { m.Blocks[0].Items[0].TTLMs = 1 << 40 },
		"mark":           func(m *talk.Message) { m.Watermarks[0].Stamp = 1 << 50 },
		"body":           func(m *talk.Message) { m.Blocks[0].Items[0].Body = make([]byte, 20<<10) },
		"load":           func(m *talk.Message) { m.Share.Loads[0].Active = -1 },
		"rate":           func(m *talk.Message) { m.Share.Rates[0].Rate = -1 },
		"size":           func(m *talk.Message) { m.Blocks[0].Items[0].Body = make([]byte, 70<<10) },
	} {
		m := sampleMessage()
		spoil(m)
		data, err := talk.Encode(m)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := talk.Decode(data); !errors.Is(err, talk.ErrMalformed) {
			t.Errorf("got %v for a bad %s, want ErrBad", err, name)
		}
	}
}

func FuzzDecode(f *testing.F) {
	data, err := talk.Encode(sampleMessage())
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add([]byte{0xa1, 0x01, 0x07})
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := talk.Decode(data)
		if err != nil {
			if !errors.Is(err, talk.ErrMalformed) {
				t.Errorf("got %v, want ErrBad", err)
			}
			return
		}
		if _, err := talk.Encode(m); err != nil {
			t.Errorf("got %v encoding what was decoded, want nil", err)
		}
	})
}
