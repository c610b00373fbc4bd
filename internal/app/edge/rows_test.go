package edge_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"fulmarwick/platform/stand"
)

// nestedTooDeep is JSON that is nested deeper than parsers allow.
var nestedTooDeep = strings.Repeat(`{"a":`, 100_000) + "1" + strings.Repeat("}", 100_000)

// oddRows returns rows that no upstream of a service writes, by what is odd in them. Where a field of
// a valid row is replaced, the others stay.
func oddRows(service, address string) map[string]string {
	row := func(field, value string) string {
		fields := map[string]string{
			"service": `"` + service + `"`, "address": `"` + address + `"`, "zone": `"east"`, "state": `"ready"`, "slots": "192",
			"kind": `"` + stand.DefaultDeployment.Cards[0].Name + `"`, "layers": `{"from":0,"to":4,"version":1}`, "sequence": "1", "born": "1",
		}
		fields[field] = value
		var b []string
		for name, v := range fields {
			b = append(b, `"`+name+`":`+v)
		}
		return "{" + strings.Join(b, ",") + "}"
	}
	out := map[string]string{"empty": "", "null": "null", "list": "[]", "cut": `{"service":"`, "deep": nestedTooDeep, "binary": "\xff\x00\xfe"}
	for _, n := range []string{"9007199254740993", "9223372036854775807", "-9223372036854775808", "18446744073709551616", "1e400", "-1", "1.5"} {
		for _, field := range []string{"slots", "born", "sequence"} {
			out[field+" "+n] = row(field, n)
		}
		out["layers to "+n] = row("layers", `{"from":0,"to":`+n+`,"version":1}`)
		out["layers from "+n] = row("layers", `{"from":`+n+`,"to":4,"version":1}`)
		out["layers version "+n] = row("layers", `{"from":0,"to":4,"version":`+n+`}`)
	}
	for _, a := range []string{"10.1.64.9:99999", "10.1.64.9:-1", "10.1.64.9:0", "10.1.64.9", "", ":8080", "0.0.0.0:8080", "[::1%east]:80", strings.Repeat("1", 10000)} {
		out[fmt.Sprintf("address %.20s", a)] = row("address", `"`+a+`"`)
	}
	for _, field := range []string{"kind", "zone", "layers", "models", "state"} {
		out[field+" deep"] = row(field, nestedTooDeep)
	}
	out["layers a list"], out["kind unknown"], out["zone empty"] = row("layers", "[0,4]"), row("kind", `"none"`), row("zone", `""`)
	return out
}

// Guards against instances that end, or follow the list of upstreams no longer, since another writer left an
// odd entry in it.
func TestOddEntryOfTheListStopsNoInstance(t *testing.T) {
	for _, place := range []string{"a new one", "an engine's", "a plain upstream's"} {
		t.Run(place, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, 2)
				defer f.close()
				service, key, address := "writer", "odd", "10.1.64.250:8080"
				switch place {
				case "an engine's":
					key, address = f.site.Engines()[3].ID, f.site.Engines()[3].Address
				case "a plain upstream's":
					service, key, address = "desk", f.site.PlainUpstreams()[1].ID, f.site.PlainUpstreams()[1].Address
				}
				for name, row := range oddRows(service, address) {
					f.site.Store.Put("servers", key, []byte(row))
					time.Sleep(100 * time.Millisecond)
					f.checkServed(name)
				}
				f.site.Store.Remove("servers", "odd")
				f.site.Heartbeat()
				f.checkFollowed()
			})
		})
	}
}

// Guards against instances that can't start while there is an odd entry in the list.
func TestInstanceStartsWithOddEntryInTheList(t *testing.T) {
	for _, name := range []string{"deep", "kind deep", "address 10.1.64.9:99999", "layers to 9007199254740993", "born 1e400"} {
		for _, service := range []string{"writer", "desk"} {
			t.Run(name+", "+service, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f, processes := newProcessFixture(t, 2)
					defer f.close()
					for _, p := range processes {
						p.end()
					}
					f.site.Store.Put("servers", "odd", []byte(oddRows(service, "10.1.64.250:8080")[name]))
					for _, p := range processes {
						p.start()
					}
					time.Sleep(3 * time.Second)
					f.checkFollowed()
					for _, p := range processes {
						p.end()
					}
				})
			})
		}
	}
}

// checkServed fails the test if an instance does not serve a stream and a look-up.
func (f *fixture) checkServed(name string) {
	f.t.Helper()
	for k := range f.clients {
		id := fmt.Sprintf("%x-%d", name, k)
		if a := f.request(k, http.MethodPost, "/write/1", id, "300,60"); a.body != wholeAnswer(id, 20) {
			f.t.Errorf("got %d with %d events (%v) beside the entry %q, want the stream whole", a.status, a.events, a.err, name)
		}
		if a := f.request(k, http.MethodGet, "/look/1", "look"+id, ""); a.status != http.StatusOK {
			f.t.Errorf("got %d (%v) for a look-up beside the entry %q, want it served", a.status, a.err, name)
		}
	}
}

// checkFollowed fails the test if instances serve no requests, or learn of no engine that comes now.
func (f *fixture) checkFollowed() {
	f.t.Helper()
	added := &stand.Engine{ID: "added", Address: "10.1.64.99:8080", Zone: "east", Card: stand.DefaultDeployment.Cards[0]}
	f.site.AddEngine(added)
	f.checkServed("last")
	time.Sleep(8 * time.Second)
	if from, to := added.LoadedLayers(); to <= from {
		f.t.Error("got no layers on an engine that came later, want some: the list is followed")
	}
}
