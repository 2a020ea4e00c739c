package main

import (
	"fmt"
	"os"
	"strings"
	"sync/atomic"
	"time"
)

// memoryMB is what a machine of the entry hosts has, as in their settings.
const memoryMB = 284

// residentMB returns the memory that a process has in use, without what it shares with files.
func residentMB(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		var kB int
		if n, err := fmt.Sscanf(line, "RssAnon: %d kB", &kB); err == nil && n == 1 {
			return kB / 1024
		}
	}
	return 0
}

func (e *entry) memory() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return residentMB(e.command.Process.Pid)
}

func (w *world) memoryMB() (list []int) {
	for _, e := range w.entries {
		list = append(list, e.memory())
	}
	return list
}

// limitMemory kills processes that take more memory than their machines have, as the platform
// does, and starts them again. kills returns how often, and on how many machines three times
// or more.
func (w *world) limitMemory(restart time.Duration) (kills func() (all, machines int)) {
	counts := make([]atomic.Int64, len(w.entries))
	for i, e := range w.entries {
		go func() {
			for range time.Tick(50 * time.Millisecond) {
				if used := e.memory(); used > memoryMB {
					counts[i].Add(1)
					w.watch.note("%s has %d MB in use, its machine has %d MB", e.name, used, memoryMB)
					w.kill(e, restart)
					time.Sleep(restart + 200*time.Millisecond)
				}
			}
		}()
	}
	return func() (all, machines int) {
		for i := range counts {
			count := int(counts[i].Load())
			all += count
			if count >= 3 {
				machines++
			}
		}
		return all, machines
	}
}
