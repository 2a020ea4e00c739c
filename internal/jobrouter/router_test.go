package jobrouter

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/poolmanager"
	"auburnglade.example/glade/internal/work"
)

// Guards against large jobs that are left in an inbox without a bound, and against one that
// is called not run though an earlier try may have stored it. There is no store to ask.
func TestLargeJobIsLeftToItsPoolsHolder(t *testing.T) {
	large := &work.JobRecord{Spec: work.Spec{Steps: []work.Step{{Image: strings.Repeat("x", 1<<16)}}}}
	must.EqOp(t, poolmanager.ResultUnknown, (&Router{}).writeJob(t.Context(), large))
}
