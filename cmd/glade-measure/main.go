// Command glade-measure measures the quality and duration of decisions, the
// gateway's cost per request and how costs grow with the size of the fleet, and
// prints one JSON object.
package main

import (
	"os"

	"auburnglade.example/glade/internal/measure"
)

func main() {
	os.Exit(measure.Main(os.Args[1:], os.Stdout, os.Stderr))
}
