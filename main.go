// Fulmarwick routes requests over pipelines of mixed accelerators.
package main

import (
	"os"

	"fulmarwick/internal/app/cmds"
)

func main() {
	os.Exit(cmds.Execute(os.Args[1:], os.Stdout, os.Stderr))
}
