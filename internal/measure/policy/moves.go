package policy

import (
	"strings"
	"time"

	"auburnglade.example/glade/internal/hostrecord"
	"auburnglade.example/glade/internal/mover"
)

// initialPools returns the initial pool of each host.
func (s *scenario) initialPools() map[string]string {
	input := mover.Input{Pools: s.pools}
	for _, host := range s.hosts {
		input.Hosts = append(input.Hosts, mover.Host{Name: host.Name, Zone: host.Zone, Rack: host.Rack, Live: true})
	}
	pools := make(map[string]string)
	for _, a := range mover.MakePlan(input).Assign {
		pools[a.Host] = a.Pool
	}
	return pools
}

// moveOperationPrefix is the prefix of the operation IDs of moves without a wave, as
// in the mover.
const moveOperationPrefix = "move-"

// moveHosts is one reconciliation of the mover. together reports whether moves may
// wait for the wave's drain.
func (w *world) moveHosts(passed time.Duration, together bool) {
	input := mover.Input{Pools: w.pools, StabilizationWindow: mover.StabilizationWindow(w.policy)}
	for _, h := range w.hosts {
		_, visited := h.record.WaveOutcomes[waveName]
		input.Hosts = append(input.Hosts, mover.Host{
			Name: h.Name, Zone: h.Zone, Rack: h.Rack, Live: w.listedLive(h), HasRecord: h.hasRecord, Record: h.record,
			MaintenanceDue: together && h.hasRecord && !visited, VisitedByWave: visited,
		})
	}
	w.reasonAges = w.reasonAges.Advance(input, passed)
	input.ReasonAges = w.reasonAges
	plan := mover.MakePlan(input)
	for _, a := range plan.Assign {
		w.assign(w.byName[a.Host], a.Pool)
	}
	for _, change := range plan.Withdraw {
		w.write(w.byName[change.Host], func(r *hostrecord.Record) { r.NextPool = "" })
	}
	for _, move := range plan.Moves {
		w.beginMove(w.byName[move.Host], move)
	}
	w.moveBound.advance(w, passed)
	w.finishMoves()
}

func (w *world) beginMove(h *host, move mover.Move) {
	if move.WithWave {
		w.write(h, func(r *hostrecord.Record) { r.NextPool = move.To })
		return
	}
	if _, ok := w.checkBudgets(h); !ok {
		return
	}
	h.drained, h.drainedAt = true, w.now
	w.write(h, func(r *hostrecord.Record) {
		r.Phase, r.Operation, r.NextPool = hostrecord.Draining, moveOperationPrefix+h.Name, move.To
	})
	w.meter.check(w, h)
}

func (w *world) finishMoves() {
	for _, h := range w.hosts {
		if strings.HasPrefix(h.record.Operation, moveOperationPrefix) && h.up && w.inFlight(h) == 0 {
			h.drained = false
			w.meter.moves++
			w.write(h, func(r *hostrecord.Record) {
				r.Pool, r.NextPool, r.Phase, r.Operation = r.NextPool, "", hostrecord.Serving, ""
			})
		}
	}
}
