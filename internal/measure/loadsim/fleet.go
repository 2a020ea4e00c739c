package loadsim

import (
	"time"

	"auburnglade.example/glade/internal/hostmanager"
)

const (
	// reconcileInterval is the interval between reconciliations of the host manager,
	// drainPollInterval the interval at which the drain of a host is polled.
	reconcileInterval = 200 * time.Millisecond
	drainPollInterval = 150 * time.Millisecond
	// moveDrainTimeout and maintenanceDrainTimeout are the times after which a drain
	// is aborted and the host stays in its pool.
	moveDrainTimeout        = 4 * time.Second
	maintenanceDrainTimeout = 20 * time.Second
	// relistDelay is the delay with which the platform lists a host that is back.
	relistDelay = 150 * time.Millisecond
	// callTime is the latency of a call to the platform's host service.
	callTime = 10 * time.Millisecond
)

// hostOperation is a move or maintenance of one host in progress.
type hostOperation struct {
	// to is the pool to which the host moves, empty for maintenance.
	to      string
	began   time.Duration
	until   time.Duration
	next    time.Duration
	drained bool
	slow    bool
}

// runHostManager simulates the host manager: it advances the operations on hosts
// and plans new ones at every reconciliation.
func (w *world) runHostManager() {
	for m, e := range w.operations {
		w.advanceOperation(m, e)
	}
	if (w.now+warmUp)%reconcileInterval != 0 || w.now < -warmUp+time.Second {
		return
	}
	loads := make(map[string]hostmanager.Load)
	for _, name := range w.names {
		loads[name] = w.pools[name].sched.Load(w.time())
	}
	w.startMaintenance(loads)
	views := w.views(loads)
	for _, move := range w.policy.Plan(views, w.time()) {
		for _, m := range w.machines {
			if m.name == move.Host.Name && w.operations[m] == nil && m.current != nil {
				w.operations[m] = &hostOperation{to: move.To, until: w.now + moveDrainTimeout}
			}
		}
	}
}

func (w *world) views(loads map[string]hostmanager.Load) []hostmanager.PoolView {
	var views []hostmanager.PoolView
	for _, name := range append([]string{sparePool}, w.names...) {
		load, known := loads[name]
		v := hostmanager.PoolView{Name: name, Spare: name == sparePool, Load: load, Known: known}
		for _, m := range w.machines {
			if e := w.operations[m]; e != nil {
				if e.to == name {
					v.Incoming++
				}
				continue
			}
			if m.pool == name && m.current != nil {
				v.Hosts = append(v.Hosts, w.managedHost(m))
			}
		}
		views = append(views, v)
	}
	return views
}

func (w *world) managedHost(m *machine) hostmanager.Host {
	return hostmanager.Host{Name: m.name, Pool: m.pool, Up: true, Kind: "a", Rack: m.rack, Resources: m.size, Worker: m.current.id, MaintenanceDue: m.maintenanceDue,
		Settling: m.movedAt != 0 && w.now < m.movedAt+hostmanager.SettlingTime}
}

// advanceOperation advances an operation: it drains the host, starts the move or
// maintenance, and ends the operation when the host is listed again.
func (w *world) advanceOperation(m *machine, e *hostOperation) {
	if e.drained {
		if m.current != nil && w.now >= m.upAt+relistDelay {
			if e.to == "" {
				w.outTimes.Add(w.now - e.began)
			}
			delete(w.operations, m)
		}
		return
	}
	if m.current == nil || w.now > e.until {
		delete(w.operations, m)
		return
	}
	if w.now < e.next {
		return
	}
	e.next = w.now + drainPollInterval
	if p := w.pools[m.pool]; p != nil {
		empty, known := p.sched.Drain(m.current.id, w.time())
		p.dirty = true
		if !empty && known || !known && m.inList {
			return
		}
	}
	e.drained = true
	if e.to == "" {
		m.maintenanceDue = false
		w.takeDown(m, callTime+maintainTime)
		return
	}
	w.figures.Moves++
	w.moveTo(m, e.to)
}

// moveTo starts the move of a host to another pool.
func (w *world) moveTo(m *machine, to string) {
	w.takeDown(m, callTime+migrateTime)
	m.pool, m.movedAt = to, w.now
}

// markDue draws the hosts for which the wave's maintenance is due.
func (w *world) markDue() {
	if w.Wave == nil {
		return
	}
	for _, i := range w.random.Perm(len(w.machines))[:int(float64(len(w.machines))*w.Wave.Share)] {
		w.machines[i].maintenanceDue = true
	}
}

// startMaintenance starts the maintenance of hosts as the host manager would.
func (w *world) startMaintenance(loads map[string]hostmanager.Load) {
	if w.Wave == nil || w.now < w.Wave.At {
		return
	}
	v := hostmanager.WaveView{
		Wave: hostmanager.Wave{Number: 1, MaxDown: w.Wave.AtOnce}, Remaining: w.Wave.At + w.Wave.Timeout - w.now,
		Loads: make(map[string]float64), OutByPool: make(map[string]int), SizeByPool: make(map[string]int),
		SlowToDrain: make(map[string]bool), SlowDraining: make(map[string]int), Occupied: make(map[string]bool),
		OutTime: w.outTimes.OutTime(), BurstLikelihood: w.policy.BurstLikelihoods(),
	}
	machines := make(map[string]*machine)
	for _, m := range w.machines {
		v.SizeByPool[m.pool]++
		if e := w.operations[m]; e != nil {
			v.OutByPool[m.pool]++
			if e.to == "" {
				v.Out++
				if e.slow && !e.drained {
					v.SlowDraining[m.pool]++
				}
			}
			continue
		}
		if m.maintenanceDue && m.current != nil {
			v.Pending = append(v.Pending, w.managedHost(m))
			machines[m.name] = m
		}
	}
	v.SetLoads(loads)
	for _, h := range hostmanager.NextToDrain(v) {
		w.operations[machines[h.Name]] = &hostOperation{began: w.now, until: w.now + maintenanceDrainTimeout, slow: v.SlowToDrain[h.Worker]}
	}
}

// failRack makes the rack of the host with the most runs unavailable. All runs on
// the rack are lost.
func (w *world) failRack() {
	if w.RackOutageAt == 0 || w.now != w.RackOutageAt {
		return
	}
	var fullest *machine
	for _, m := range w.machines {
		if m.current != nil && m.pool != sparePool && (fullest == nil || len(m.current.runs) > len(fullest.current.runs)) {
			fullest = m
		}
	}
	for _, m := range w.machines {
		if m.rack == fullest.rack && m.current != nil {
			delete(w.operations, m)
			w.takeDown(m, w.RackOutageTime)
		}
	}
}
