// Command stand runs one case of the review: it starts instances of the router as separate processes
// between stand-ins for the platform's store, its engines and its clients, brings a disruption about, and
// judges what clients and servers saw by one rule.
package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// timeLimit ends a case that takes too long.
const timeLimit = 110 * time.Second

// bench is what a case works with.
type bench struct {
	root, dir string
	// trouble is false if the disruption is to be left out.
	trouble bool
	record  *record
	store   *store
	table   string
}

// cases are the cases by name. Each returns how many times its rule was broken beyond what it allows.
var cases = map[string]func(context.Context, *bench) (broken bool, err error){}

func main() { os.Exit(run(os.Args[1:])) }

// run runs the case that the arguments name: its name, the root of the repository and its folder.
func run(args []string) int {
	if len(args) != 3 || cases[args[0]] == nil {
		_, _ = fmt.Fprintln(os.Stderr, "usage: stand CASE ROOT FOLDER")
		return exitNotRun
	}
	broken, err := runCase(args[0], args[1], args[2])
	switch {
	case err != nil:
		_, _ = fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return exitNotRun
	case broken:
		_, _ = fmt.Fprintln(os.Stderr, "the rule was broken")
		return exitBroken
	}
	_, _ = fmt.Fprintln(os.Stderr, "the rule held")
	return exitHeld
}

func runCase(name, root, folder string) (broken bool, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeLimit)
	defer cancel()
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return false, err
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(dir) }()
	} else {
		_, _ = fmt.Fprintln(os.Stderr, "logs are kept in", dir)
	}
	b := &bench{root: root, dir: dir, trouble: os.Getenv("TROUBLE") != "0", store: newStore()}
	if b.record, err = newRecord(filepath.Join(folder, "record.txt")); err != nil {
		return false, err
	}
	defer b.record.close()
	if b.table, err = serve(ctx, b.store.handler()); err != nil {
		return false, err
	}
	broken, err = cases[name](ctx, b)
	b.record.line("rule broken: %t, error: %v", broken, err)
	return broken, err
}
