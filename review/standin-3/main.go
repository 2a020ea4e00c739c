// Command standin-3 plays the scripts of the third review: it starts the project's own entry
// hosts as processes, with stand-ins for the platform's store, the cloud, minions and clients,
// and judges what these have seen.
package main

import (
	"fmt"
	"os"
)

// Results of a case, which are its exit codes.
const (
	held      = 0
	broken    = 1
	cannotRun = 2
)

var cases = map[string]func(program, record string, trouble bool) int{
	"cancel": cancelInTakeover, "state": stateInTakeover, "progress": progress, "backfill": backfill, "limit": limit, "late": late, "text": largeText, "carried": carried,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-3 CASE PROGRAM RECORD, with TROUBLE=0 in the environment for none")
		os.Exit(cannotRun)
	}
	os.Exit(cases[os.Args[1]](os.Args[2], os.Args[3], os.Getenv("TROUBLE") != "0"))
}

func failed(err error) int {
	fmt.Fprintln(os.Stderr, err)
	return cannotRun
}
