package peer_test

import (
	"bytes"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"fulmarwick/internal/wire/peer"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"
	"github.com/gorilla/websocket"
)

func frames() map[string]any {
	return map[string]any{
		"news":        map[int]any{1: 1, 3: []byte{1}},
		"forward":     map[int]any{1: 2, 2: 7, 5: map[int]any{1: "r", 2: "t", 3: "c", 4: "m", 5: "x", 6: 1, 7: 2, 11: 1}},
		"end":         map[int]any{1: 5, 2: 7, 7: map[int]any{1: 3}},
		"other kind":  map[int]any{1: 99, 40: "later"},
		"no job":      map[int]any{1: 2, 2: 7},
		"no name":     map[int]any{1: 2, 5: map[int]any{1: "", 2: "t", 3: "c", 4: "m"}},
		"bad count":   map[int]any{1: 5, 7: map[int]any{1: -3}},
		"bad index":   map[int]any{1: 4, 6: map[int]any{1: 1 << 40, 3: "x"}},
		"empty news":  map[int]any{1: 1},
		"no kind":     map[int]any{2: 7},
		"large piece": map[int]any{1: 7, 3: make([]byte, 300<<10)},
	}
}

func TestFramesAreChecked(t *testing.T) {
	good := map[string]bool{"news": true, "forward": true, "end": true, "other kind": true}
	for name, f := range frames() {
		data, err := cbor.Marshal(f)
		if err != nil {
			t.Fatal(err)
		}
		got := peer.Decode(data)
		if good[name] && got != nil || !good[name] && !errors.Is(got, peer.ErrFrame) {
			t.Errorf("got %v for %s, want good %v", got, name, good[name])
		}
	}
}

func FuzzDecode(f *testing.F) {
	for _, v := range frames() {
		data, err := cbor.Marshal(v)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		if err := peer.Decode(data); err != nil && !errors.Is(err, peer.ErrFrame) {
			t.Errorf("got %v, want nil or ErrFrame", err)
		}
	})
}

// A program that reaches the port sends garbage, an oversized frame, an empty
// frame and frames with invalid content. Its connections are closed, and the
// instances are not affected.
func TestHostileFramesDoNoHarm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t)
		defer s.close()
		s.add("a", nil, nil)
		s.add("b", nil, nil)
		s.announce()
		s.waitForMembers(1)
		for _, data := range [][]byte{{0xff}, bytes.Repeat([]byte{0x9f}, 1000), make([]byte, peer.MaxBytes+1), nil} {
			d := websocket.Dialer{NetDialContext: s.dial, Subprotocols: []string{"fulmarwick.1"}}
			ws, resp, err := d.Dial("ws://10.0.0.1:7000"+peer.Path, http.Header{"X-Instance": {"evil"}})
			if err != nil {
				t.Fatal(err)
			}
			_ = resp.Body.Close()
			for err == nil {
				err = ws.WriteMessage(websocket.BinaryMessage, data)
			}
			_ = ws.Close()
		}
		time.Sleep(10 * time.Second)
		for _, h := range s.hubs {
			if !h.hasMembers(1) {
				t.Errorf("got a member count other than 1 at %s, want only the other instance", h.name)
			}
		}
	})
}
