package atmostonce

import (
	"flag"
	"os"
	"testing"
)

// fixedSeed makes runs repeatable; -rapid.seed and -rapid.checks on the command
// line take precedence.
const fixedSeed = "20261202"

func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", fixedSeed); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}
