// Command glade-measure measures the decisions, the gateway's cost and the
// capacity slopes, and prints one JSON object.
package main

import (
	"os"

	"auburnglade.example/glade/internal/measure"
)

func main() {
	os.Exit(measure.Main(os.Args[1:], os.Stdout, os.Stderr))
}
