// Command stand2 plays the cases of the second review: it runs stand-ins for clients, engines and the
// platform in its own process, and the project's program in others.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// caseLimit ends a case that takes too long.
const caseLimit = 115 * time.Second

// Exit statuses of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases holds the cases by the number of their folder. trouble is false if the disruption is left out.
var cases = map[string]func(b *bench, trouble bool) error{}

func main() { os.Exit(play()) }

func play() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand2 CASE FOLDER")
		return exitNotRun
	}
	rec, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	b, err := newBench(rec)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer b.close()
	timeout := time.AfterFunc(caseLimit, func() {
		rec.note("the case took too long")
		b.close()
		os.Exit(exitNotRun)
	})
	defer timeout.Stop()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.note("case %s, with disruption: %v", os.Args[1], trouble)
	if err := cases[os.Args[1]](b, trouble); err != nil {
		rec.note("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	if n := rec.count(); n > 0 {
		rec.note("rule broken %d times", n)
		return exitBroken
	}
	rec.note("rule held")
	return exitHeld
}
