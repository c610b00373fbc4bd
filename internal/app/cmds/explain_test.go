package cmds_test

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"fulmarwick/internal/app/cmds"
)

// recordedLog contains recorded log lines of a stream whose second engine died, a line
// that is not JSON and a line of another request.
const recordedLog = `klang-1 {"level":"info","ts":"2026-01-02T03:04:06.100Z","msg":"edge: path changed","request":"9c41","path":"a:0-40,c:40-80","silent":88}
klang-1 no object
klang-1 {"level":"warn","ts":"2026-01-02T03:04:06.050Z","msg":"edge: engine does not answer","engine":"b","after":28}
klang-1 {"level":"warn","ts":"2026-01-02T03:04:08.000Z","msg":"edge: answer late","request":"9c41","first":60,"pause":230}
klang-1 {"level":"info","ts":"2026-01-02T03:04:08.000Z","msg":"edge: request served","request":"77aa"}
`

// The table shows how many requests were lost in each two seconds and why, with the
// engine that died, and the same by route, team and data centre.
func TestExplainLosses(t *testing.T) {
	log := recordedLog + `klang-1 {"ts":"2026-01-02T03:04:06.700Z","msg":"edge: request not served","route":"r","team":"t","centre":"klang","reason":"no room","room":{"layer":42,"free":7}}
klang-1 {"ts":"2026-01-02T03:04:06.800Z","msg":"edge: engine left","engine":"b","repathed":3,"resumed":2,"kept":0}
klang-1 {"ts":"2026-01-02T03:04:10.000Z","msg":"edge: answer late","route":"r","team":"t","centre":"klang","target":500,"first":60,"pause":230,"pause at":200,"took":4000}
`
	name := filepath.Join(t.TempDir(), "log")
	if err := os.WriteFile(name, []byte(log), 0o600); err != nil {
		t.Fatal(err)
	}
	var out, errOut bytes.Buffer
	if got := cmds.Execute([]string{"explain", "--losses", name}, &out, &errOut); got != cmds.ExitOK {
		t.Fatalf("got %d %s, want 0", got, errOut.String())
	}
	want := `03:04:06  served 0  moved by another path 3  moved by another run 2  late by a pause 1  no room 1  scarcest layer 42  [b dead]
03:04:08  served 1  late first event 1
route   late first event 1
route r  late by a pause 1  no room 1
team   late first event 1
team t  late by a pause 1  no room 1
data centre   late first event 1
data centre klang  late by a pause 1  no room 1
`
	if got := out.String(); got != want {
		t.Errorf("got\n%swant\n%s", got, want)
	}
	if got := cmds.Execute([]string{"explain"}, &out, &errOut); got == cmds.ExitOK {
		t.Error("got success without an ID, want an error")
	}
}

func TestExplain(t *testing.T) {
	name := filepath.Join(t.TempDir(), "log")
	if err := os.WriteFile(name, []byte(recordedLog), 0o600); err != nil {
		t.Fatal(err)
	}
	var out, errOut bytes.Buffer
	if got := cmds.Execute([]string{"explain", "9c41", name}, &out, &errOut); got != cmds.ExitOK {
		t.Fatalf("got %d %s, want 0", got, errOut.String())
	}
	want := "2026-01-02T03:04:06.100Z klang-1 edge: path changed  path=a:0-40,c:40-80  request=9c41  silent=88\n" +
		"2026-01-02T03:04:08.000Z klang-1 edge: answer late  first=60  pause=230  request=9c41\n"
	if got := out.String(); got != want {
		t.Errorf("got %q, want %q", got, want)
	}
	if got := cmds.Execute([]string{"explain", "none", name}, &out, &errOut); got != cmds.ExitFail {
		t.Errorf("got %d for an ID that no line contains, want 1", got)
	}
}
