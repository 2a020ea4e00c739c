// Command gladectl is the operators' command line.
package main

import (
	"os"

	"auburnglade.example/glade/internal/operatorcli"
)

func main() {
	os.Exit(operatorcli.Main(os.Args[1:], os.Stdout, os.Stderr))
}
