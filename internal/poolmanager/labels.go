package poolmanager

import "sync"

// boundedLabels gives the first names that the process sees a label of their own, and
// all others one label together: names come from callers, and each series takes memory.
// It may be used concurrently.
type boundedLabels struct {
	most int
	rest string

	mu    sync.Mutex
	known map[string]bool
}

func newBoundedLabels(most int, rest string) *boundedLabels {
	return &boundedLabels{most: most, rest: rest, known: make(map[string]bool)}
}

func (l *boundedLabels) label(name string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.known[name] && len(l.known) >= l.most {
		return l.rest
	}
	l.known[name] = true
	return name
}
