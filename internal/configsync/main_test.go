package configsync_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain makes random runs repeatable. -rapid.seed and -rapid.checks on the command
// line take precedence.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20261202", "rapid.checks": "60"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}
