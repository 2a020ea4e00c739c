package sharemanager

import (
	"flag"
	"os"
	"runtime"
	"testing"
)

// TestMain fixes the seed of the randomised runs, unless -rapid.seed sets another one,
// and lets one goroutine run at a time. A timer that is due when it is read is run by
// its reader, under the one race context of its bubble. With several concurrent
// readers, the race detector of Go 1.26 crashed in most runs of these tests ("CHECK
// failed: tsan_rtl.cpp ... kEpochLast", SIGSEGV), whose many goroutines end at the same
// virtual moment. With one at a time it still detects every unordered access.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "20261202"); err != nil {
		panic(err)
	}
	runtime.GOMAXPROCS(1)
	os.Exit(m.Run())
}
