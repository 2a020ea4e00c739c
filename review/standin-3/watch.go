package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// watch records what was sent, answered and run.
type watch struct {
	file  *os.File
	began time.Time

	mu sync.Mutex
	// running counts the runs of each task, starts all that it ever had.
	running, starts map[string]int
	// where is the minion on which each task was started last.
	where map[string]string
	// doubles counts the starts beside another run of the task.
	doubles int
	// quiet is set if runs are counted and not recorded one by one.
	quiet bool
}

func newWatch(path string) (*watch, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &watch{file: file, began: time.Now(), running: make(map[string]int), starts: make(map[string]int), where: make(map[string]string)}, nil
}

// note writes a line to the record.
func (w *watch) note(format string, values ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.noteLocked(format, values...)
}

func (w *watch) noteLocked(format string, values ...any) {
	fmt.Fprintf(w.file, "%9.3f %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, values...))
}

// disturb records a disruption.
func (w *watch) disturb(format string, values ...any) { w.note("DISRUPTION "+format, values...) }

func (w *watch) started(minion string, o *order) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.running[o.Task]++
	w.starts[o.Task]++
	w.where[o.Task] = minion
	if w.running[o.Task] > 1 {
		w.doubles++
		w.noteLocked("minion %s: run %d of task %s starts BESIDE ANOTHER RUN of it", minion, o.Run, o.Task)
	}
	if !w.quiet {
		w.noteLocked("minion %s: run %d of task %s starts, fence %d", minion, o.Run, o.Task, o.Fence)
	}
}

func (w *watch) refused(minion string, o *order, reason string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.quiet {
		w.noteLocked("minion %s: run %d of task %s is refused: %s, fence %d", minion, o.Run, o.Task, reason, o.Fence)
	}
}

func (w *watch) ended(minion, task string, number int, how string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.running[task]--
	if !w.quiet {
		w.noteLocked("minion %s: run %d of task %s has ended: %s", minion, number, task, how)
	}
}

// jobRuns returns how many runs the tasks of a job have, and how many starts they had.
func (w *watch) jobRuns(job string) (running, starts int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for task, count := range w.starts {
		if strings.HasPrefix(task, job+".") {
			running += w.running[task]
			starts += count
		}
	}
	return running, starts
}

// runsOn returns the minion on which a task was started last, if it runs.
func (w *watch) runsOn(task string) (minion string, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.where[task], w.running[task] > 0
}

// doubleStarts returns how many runs have started beside another one of their task.
func (w *watch) doubleStarts() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.doubles
}

// allRuns returns how many runs go on.
func (w *watch) allRuns() (running int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, count := range w.running {
		running += count
	}
	return running
}
