package wave

import (
	"fmt"
	"testing"

	"auburnglade.example/glade/internal/record"
)

// BenchmarkPlanAll plans one wave over all hosts, as the first reconcile does. At
// 1,000 hosts in 261 pools it must stay under 50 ms, and grow no faster than
// n log n.
func BenchmarkPlanAll(b *testing.B) {
	for _, pools := range []int{65, 261, 1044} {
		f := newTestFleet()
		spec := &record.Wave{}
		for i := range pools {
			name := fmt.Sprintf("pool-%04d", i)
			f.pool(name, 4-boolToInt(i%6 == 0), 2, record.MarginHost)
			spec.Pools = append(spec.Pools, name)
		}
		f.waves["a"] = spec
		snapshot := f.fleet()
		input := snapshot.Waves[0]
		b.Run(fmt.Sprintf("hosts=%d", len(input.Hosts)), func(b *testing.B) {
			for b.Loop() {
				b.StopTimer()
				fresh := f.fleetOf(input)
				b.StartTimer()
				PlanAll(fresh)
			}
		})
	}
}
