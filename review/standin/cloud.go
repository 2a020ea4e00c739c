package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"time"
)

// cloud is the service for machines. Its machines stay in their pools: no other pool takes
// them, and no wave is due.
type cloud struct{ world *world }

func (c *cloud) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /auburnglade/machines", c.serveMachines)
	mux.HandleFunc("POST /auburnglade/machine-move", c.serveMove)
	mux.HandleFunc("POST /auburnglade/machine-upkeep", func(w http.ResponseWriter, _ *http.Request) {
		reply(w, http.StatusConflict, map[string]string{"reason": "wave"})
	})
	return mux
}

func (c *cloud) serveMachines(w http.ResponseWriter, _ *http.Request) {
	time.Sleep(storeDelay)
	c.world.mu.Lock()
	machines := make([]map[string]any, 0, len(c.world.minions))
	for _, m := range c.world.minions {
		machines = append(machines, map[string]any{
			"machine": m.machine, "pool": m.service, "state": "up", "zone": c.world.zones[0], "labels": []string{"a", m.rack},
			"capacity": map[string]int{"cpu": m.cpu, "memMb": m.memMB, "gpu": 0}, "id": m.id,
		})
	}
	c.world.mu.Unlock()
	sort.Slice(machines, func(i, j int) bool { return machines[i]["machine"].(string) < machines[j]["machine"].(string) })
	reply(w, http.StatusOK, map[string]any{"machines": machines, "nextToken": nil})
}

func (c *cloud) serveMove(w http.ResponseWriter, r *http.Request) {
	var move struct{ Machine, Pool string }
	if err := json.NewDecoder(r.Body).Decode(&move); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(storeDelay)
	c.world.record("machine-move of %s to %s is answered 400: a pool of other machines", move.Machine, move.Pool)
	reply(w, http.StatusBadRequest, struct{}{})
}
