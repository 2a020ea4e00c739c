package loadsim

import (
	"time"

	"auburnglade.example/glade/internal/hostmanager"
)

const (
	// dutyEvery is the pause between two looks at the pools, emptyEvery that
	// between two questions whether a host is empty.
	dutyEvery  = 200 * time.Millisecond
	emptyEvery = 150 * time.Millisecond
	// moveWithin and maintainWithin are when a host that doesn't empty stays.
	moveWithin     = 4 * time.Second
	maintainWithin = 20 * time.Second
	// listedAgain is how late the platform's list shows a host that is back.
	listedAgain = 150 * time.Millisecond
	// callTime is how long a call to the platform for a host takes.
	callTime = 10 * time.Millisecond
)

// errand is what is being done with one host.
type errand struct {
	// to is the pool that it moves to, empty for maintenance.
	to    string
	began time.Duration
	until time.Duration
	next  time.Duration
	gone  bool
	slow  bool
}

// playDuty lets the duty look at the pools and act on hosts.
func (w *world) playDuty() {
	for m, e := range w.errands {
		w.playErrand(m, e)
	}
	if (w.now+warmUp)%dutyEvery != 0 || w.now < -warmUp+time.Second {
		return
	}
	loads := make(map[string]hostmanager.Load)
	for _, name := range w.names {
		loads[name] = w.pools[name].sched.Load(w.time())
	}
	w.playWave(loads)
	views := w.views(loads)
	for _, move := range w.policy.Plan(views, w.time()) {
		for _, m := range w.machines {
			if m.name == move.Host.Name && w.errands[m] == nil && m.life != nil {
				w.errands[m] = &errand{to: move.To, until: w.now + moveWithin}
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
			if e := w.errands[m]; e != nil {
				if e.to == name {
					v.Incoming++
				}
				continue
			}
			if m.pool == name && m.life != nil {
				v.Hosts = append(v.Hosts, w.dutyHost(m))
			}
		}
		views = append(views, v)
	}
	return views
}

func (w *world) dutyHost(m *machine) hostmanager.Host {
	return hostmanager.Host{Name: m.name, Pool: m.pool, Up: true, Kind: "a", Rack: m.rack, Size: m.size, Worker: m.life.id, MaintenanceDue: m.due}
}

// playErrand empties a host, sends it away, and waits until it is back.
func (w *world) playErrand(m *machine, e *errand) {
	if e.gone {
		if m.life != nil && w.now >= m.back+listedAgain {
			if e.to == "" {
				w.outTimes.Add(w.now - e.began)
			}
			delete(w.errands, m)
		}
		return
	}
	if m.life == nil || w.now > e.until {
		delete(w.errands, m)
		return
	}
	if w.now < e.next {
		return
	}
	e.next = w.now + emptyEvery
	if p := w.pools[m.pool]; p != nil {
		empty, known, _ := p.sched.Drain(m.life.id, w.time())
		p.dirty = true
		if !empty && known || !known && m.known {
			return
		}
	}
	e.gone = true
	if e.to == "" {
		m.due = false
		w.goAway(m, callTime+maintainTime)
		return
	}
	w.figures.Moves++
	w.goAwayTo(m, e.to)
}

// goAwayTo moves a host to another pool.
func (w *world) goAwayTo(m *machine, to string) {
	w.goAway(m, callTime+migrateTime)
	m.pool = to
}

// markDue draws the hosts of the day's wave.
func (w *world) markDue() {
	if w.Wave == nil {
		return
	}
	for _, i := range w.random.Perm(len(w.machines))[:int(float64(len(w.machines))*w.Wave.Share)] {
		w.machines[i].due = true
	}
}

// playWave sends hosts to maintenance as the duty would.
func (w *world) playWave(loads map[string]hostmanager.Load) {
	if w.Wave == nil || w.now < w.Wave.At {
		return
	}
	v := hostmanager.WaveView{
		Wave: hostmanager.Wave{Number: 1, MaxDown: w.Wave.AtOnce}, Remaining: w.Wave.At + w.Wave.Timeout - w.now,
		Loads: make(map[string]float64), OutByPool: make(map[string]int), SizeByPool: make(map[string]int),
		SlowToDrain: make(map[string]bool), SlowDraining: make(map[string]int), Occupied: make(map[string]bool),
		PerHost: w.outTimes.PerHost(), BurstLikelihood: w.policy.Expected(),
	}
	machines := make(map[string]*machine)
	for _, m := range w.machines {
		v.SizeByPool[m.pool]++
		if e := w.errands[m]; e != nil {
			v.OutByPool[m.pool]++
			if e.to == "" {
				v.Out++
				if e.slow && !e.gone {
					v.SlowDraining[m.pool]++
				}
			}
			continue
		}
		if m.due && m.life != nil {
			v.Pending = append(v.Pending, w.dutyHost(m))
			machines[m.name] = m
		}
	}
	v.SetLoads(loads)
	for _, h := range hostmanager.NextToDrain(v) {
		w.errands[machines[h.Name]] = &errand{began: w.now, until: w.now + maintainWithin, slow: v.SlowToDrain[h.Worker]}
	}
}

// goDark silences a rack of the fullest pool, which loses what runs there.
func (w *world) goDark() {
	if w.RackOutageAt == 0 || w.now != w.RackOutageAt {
		return
	}
	var fullest *machine
	for _, m := range w.machines {
		if m.life != nil && m.pool != sparePool && (fullest == nil || len(m.life.runs) > len(fullest.life.runs)) {
			fullest = m
		}
	}
	for _, m := range w.machines {
		if m.rack == fullest.rack && m.life != nil {
			delete(w.errands, m)
			w.goAway(m, w.RackOutageTime)
		}
	}
}
