// Command gladectl is the command-line client for operators.
package main

import (
	"os"

	"auburnglade.example/glade/internal/operatorcli"
)

func main() {
	os.Exit(operatorcli.Main(os.Args[1:], os.Stdout, os.Stderr))
}
