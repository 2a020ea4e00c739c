package policy

import (
	"strings"
	"time"

	"auburnglade.example/glade/internal/hostrecord"
	"auburnglade.example/glade/internal/mover"
)

// deal assigns the hosts to the pools as a run begins.
func (s *scenario) deal() map[string]string {
	input := mover.Input{Pools: s.pools}
	for _, host := range s.hosts {
		input.Hosts = append(input.Hosts, mover.Host{Name: host.Name, Zone: host.Zone, Rack: host.Rack, Live: true})
	}
	dealt := make(map[string]string)
	for _, a := range mover.MakePlan(input).Assign {
		dealt[a.Host] = a.Pool
	}
	return dealt
}

// ownMove marks the operations of moves without a wave, as the mover does.
const ownMove = "move-"

// moveHosts is one round of the mover; together says that moves may wait for
// the wave's drain.
func (w *world) moveHosts(passed time.Duration, together bool) {
	input := mover.Input{Pools: w.pools, StabilizationWindow: mover.StabilizationWindow(w.policy)}
	for _, h := range w.hosts {
		_, visited := h.record.WaveOutcomes[waveName]
		input.Hosts = append(input.Hosts, mover.Host{
			Name: h.Name, Zone: h.Zone, Rack: h.Rack, Live: w.listedLive(h), HasRecord: h.known, Record: h.record,
			MaintenanceDue: together && h.known && !visited, VisitedByWave: visited,
		})
	}
	w.lasted = w.lasted.Advance(input, passed)
	input.ReasonAges = w.lasted
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
	w.fewest.pass(w, passed)
	w.finishMoves()
}

func (w *world) beginMove(h *host, move mover.Move) {
	if move.WithWave {
		w.write(h, func(r *hostrecord.Record) { r.NextPool = move.To })
		return
	}
	if _, ok := w.acquire(h); !ok {
		return
	}
	h.drained, h.drainedAt = true, w.now
	w.write(h, func(r *hostrecord.Record) {
		r.Phase, r.Operation, r.NextPool = hostrecord.Draining, ownMove+h.Name, move.To
	})
	w.meter.judge(w, h)
}

func (w *world) finishMoves() {
	for _, h := range w.hosts {
		if strings.HasPrefix(h.record.Operation, ownMove) && h.up && w.inFlight(h) == 0 {
			h.drained = false
			w.meter.moves++
			w.write(h, func(r *hostrecord.Record) {
				r.Pool, r.NextPool, r.Phase, r.Operation = r.NextPool, "", hostrecord.Serving, ""
			})
		}
	}
}
