package proto_test

import (
	"reflect"
	"testing"

	"fulmarwick/internal/base/news"
	"fulmarwick/internal/fleet/proto"

	"github.com/go-faster/errors"
)

func sampleMessage() *proto.Message {
	return &proto.Message{
		CallID: 7, AckID: 3, ProbeTarget: "b", HasDigest: true, Checksums: make([]byte, 64),
		Records:    []proto.Record{{ID: "a", DataCentre: "klang", URL: "https://10.0.0.1:1", StartTime: 9, Incarnation: 1, State: proto.StateSuspect, SuspectedBy: "c"}},
		Watermarks: []proto.Watermark{{StreamHash: 1, Stamp: 2}}, Wants: []proto.Watermark{{StreamHash: 5}},
		Blocks: []proto.Block{{Origin: "a", StartTime: 9, Scope: news.ScopeFleet, Watermark: 4, Items: []proto.Entry{{Kind: news.KindPrint, Key: "k", Stamp: 4, TTLMs: 5, Body: []byte{1}}}}},
		Share:  &proto.Share{HasLoads: true, Loads: []proto.Load{{Engine: "e", Active: 1, Tokens: 9}}, Rates: []proto.Rate{{TeamHash: 5, Rate: 2.5}}},
	}
}

func TestEncodeDecodeRoundTrip(t *testing.T) {
	data, err := proto.Encode(sampleMessage())
	if err != nil {
		t.Fatal(err)
	}
	got, err := proto.Decode(data)
	if err != nil || !reflect.DeepEqual(got, sampleMessage()) {
		t.Errorf("got %+v, %v; want what was encoded", got, err)
	}
}

func TestMalformedMessagesAreRejected(t *testing.T) {
	for name, corrupt := range map[string]func(*proto.Message){
		"no member name": func(m *proto.Message) { m.Records[0].ID = "" },
		"state":          func(m *proto.Message) { m.Records[0].State = 9 },
		"incarnation":    func(m *proto.Message) { m.Records[0].Incarnation = 1 << 31 },
		"scope":          func(m *proto.Message) { m.Blocks[0].Scope = 5 },
		"stamp":          func(m *proto.Message) { m.Blocks[0].Items[0].Stamp = 1 << 60 },
		"no stamp":       func(m *proto.Message) { m.Blocks[0].Items[0].Stamp = 0 },
		"life":           func(m *proto.Message) { m.Blocks[0].Items[0].TTLMs = 1 << 40 },
		"mark":           func(m *proto.Message) { m.Watermarks[0].Stamp = 1 << 50 },
		"body":           func(m *proto.Message) { m.Blocks[0].Items[0].Body = make([]byte, 20<<10) },
		"load":           func(m *proto.Message) { m.Share.Loads[0].Active = -1 },
		"rate":           func(m *proto.Message) { m.Share.Rates[0].Rate = -1 },
		"size":           func(m *proto.Message) { m.Blocks[0].Items[0].Body = make([]byte, 70<<10) },
	} {
		m := sampleMessage()
		corrupt(m)
		data, err := proto.Encode(m)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := proto.Decode(data); !errors.Is(err, proto.ErrMalformed) {
			t.Errorf("got %v for a bad %s, want ErrMalformed", err, name)
		}
	}
}

func FuzzDecode(f *testing.F) {
	data, err := proto.Encode(sampleMessage())
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add([]byte{0xa1, 0x01, 0x07})
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := proto.Decode(data)
		if err != nil {
			if !errors.Is(err, proto.ErrMalformed) {
				t.Errorf("got %v, want ErrMalformed", err)
			}
			return
		}
		if _, err := proto.Encode(m); err != nil {
			t.Errorf("got %v encoding what was decoded, want nil", err)
		}
	})
}
