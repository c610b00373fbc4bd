// Fulmarwick routes requests over pipelines of mixed accelerators.
package main

import (
	"context"
	"os"

	"fulmarwick/internal/app/cmds"
)

func main() {
	os.Exit(cmds.Execute(context.Background(), os.Args[1:], os.Stdout, os.Stderr))
}
