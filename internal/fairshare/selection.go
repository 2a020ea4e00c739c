package fairshare

import "container/heap"

// Entry is work that was admitted. ID is the caller's.
type Entry struct {
	ID int
	// CoreSeconds is the work, Rank orders the entries of one organisation: the highest
	// is removed first.
	CoreSeconds, Rank float64
}

// Selection holds the work admitted in one plan and decides what is removed from it. It
// answers one organisation that sends several times its usual: what is removed is work of
// the organisation that is furthest beyond its share of the cores. A large entry does not
// count against itself, so that an organisation's only large job does not lose to many
// small ones of others. Each call takes time logarithmic in the entries and organisations.
type Selection struct {
	accounts accountHeap
	// touched are the accounts that Next has changed.
	touched []*Account
}

// Begin empties the selection for a new plan.
func (s *Selection) Begin() {
	for _, a := range s.accounts {
		a.entries, a.admitted = a.entries[:0], 0
	}
	for _, a := range s.touched {
		a.admitted = 0
	}
	s.touched = s.touched[:0]
	clear(s.accounts)
	s.accounts = s.accounts[:0]
}

// Add admits work of an organisation.
func (s *Selection) Add(a *Account, e Entry) {
	first := len(a.entries) == 0
	a.entries.add(e)
	a.admitted += e.CoreSeconds
	a.updateTag()
	if first {
		heap.Push(&s.accounts, a)
		return
	}
	heap.Fix(&s.accounts, a.position)
}

// Remove removes the entry with the highest rank of the organisation that is furthest
// beyond its share. ok is false when the selection is empty.
func (s *Selection) Remove() (removed Entry, ok bool) {
	if len(s.accounts) == 0 {
		return Entry{}, false
	}
	a := s.accounts[0]
	removed = a.entries.takeTop()
	a.admitted -= removed.CoreSeconds
	if len(a.entries) == 0 {
		a.admitted = 0
		heap.Pop(&s.accounts)
		return removed, true
	}
	a.updateTag()
	heap.Fix(&s.accounts, 0)
	return removed, true
}

// updateTag sets the start tag of the entry that would be removed next.
func (a *Account) updateTag() {
	a.tag = (a.admitted - a.entries[0].CoreSeconds) / a.weight
}

// accountHeap is a heap of accounts with the highest start tag on top.
type accountHeap []*Account

func (h accountHeap) Len() int { return len(h) }

func (h accountHeap) Less(i, j int) bool {
	if h[i].tag != h[j].tag {
		return h[i].tag > h[j].tag
	}
	// With equal tags the larger work goes, as among the jobs of one organisation.
	return h[i].entries[0].Rank > h[j].entries[0].Rank
}

func (h accountHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].position, h[j].position = i, j
}

// Push implements heap.Interface.
func (h *accountHeap) Push(x any) {
	a := x.(*Account)
	a.position = len(*h)
	*h = append(*h, a)
}

// Pop implements heap.Interface.
func (h *accountHeap) Pop() any {
	last := len(*h) - 1
	a := (*h)[last]
	*h = (*h)[:last]
	return a
}

// entryHeap is a heap with the highest rank on top. container/heap would allocate for
// each entry.
type entryHeap []Entry

func (h *entryHeap) add(e Entry) {
	*h = append(*h, e)
	entries := *h
	for at := len(entries) - 1; at > 0; {
		parent := (at - 1) / 2
		if entries[parent].Rank >= entries[at].Rank {
			return
		}
		entries[parent], entries[at] = entries[at], entries[parent]
		at = parent
	}
}

func (h *entryHeap) takeTop() Entry {
	entries := *h
	top, last := entries[0], len(entries)-1
	entries[0] = entries[last]
	entries = entries[:last]
	*h = entries
	for at := 0; ; {
		child := 2*at + 1
		if child >= len(entries) {
			return top
		}
		if child+1 < len(entries) && entries[child+1].Rank > entries[child].Rank {
			child++
		}
		if entries[at].Rank >= entries[child].Rank {
			return top
		}
		entries[at], entries[child] = entries[child], entries[at]
		at = child
	}
}

// Next returns the start tag of an organisation's next work, which goes before all that
// follows. Add and Next aren't mixed between two calls of Begin.
func (s *Selection) Next(a *Account, coreSeconds float64) float64 {
	if a.admitted == 0 {
		s.touched = append(s.touched, a)
	}
	tag := a.admitted / a.weight
	a.admitted += coreSeconds
	return tag
}
