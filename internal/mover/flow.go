package mover

// network is a small directed graph with integer capacities. Dinic's algorithm
// pushes flow in phases of shortest paths; an edge's room may be
// set between two pushes, and flow that left the source never comes back, so what an earlier
// push used of the source stays used.
type network struct {
	heads [][]int
	to    []int
	room  []int
	level []int
	next  []int
}

const unreached = -1

func (n *network) node() int {
	n.heads = append(n.heads, nil)
	return len(n.heads) - 1
}

// edge adds an edge and returns its number.
func (n *network) edge(from, to, room int) int {
	number := len(n.to)
	n.heads[from] = append(n.heads[from], number)
	n.heads[to] = append(n.heads[to], number+1)
	n.to = append(n.to, to, from)
	n.room = append(n.room, room, 0)
	return number
}

// flow returns what runs through an edge: the room of its reverse.
func (n *network) flow(edge int) int { return n.room[edge^1] }

// push sends as much as possible from source to sink on top of what runs.
func (n *network) push(source, sink int) int {
	total := 0
	for n.layer(source, sink) {
		n.next = make([]int, len(n.heads))
		for {
			sent := n.send(source, sink, int(^uint(0)>>1))
			if sent == 0 {
				break
			}
			total += sent
		}
	}
	return total
}

func (n *network) layer(source, sink int) bool {
	n.level = make([]int, len(n.heads))
	for i := range n.level {
		n.level[i] = unreached
	}
	n.level[source] = 0
	queue := []int{source}
	for len(queue) > 0 {
		at := queue[0]
		queue = queue[1:]
		for _, edge := range n.heads[at] {
			if n.room[edge] > 0 && n.level[n.to[edge]] == unreached {
				n.level[n.to[edge]] = n.level[at] + 1
				queue = append(queue, n.to[edge])
			}
		}
	}
	return n.level[sink] != unreached
}

func (n *network) send(at, sink, most int) int {
	if at == sink {
		return most
	}
	for ; n.next[at] < len(n.heads[at]); n.next[at]++ {
		edge := n.heads[at][n.next[at]]
		if n.room[edge] == 0 || n.level[n.to[edge]] != n.level[at]+1 {
			continue
		}
		if sent := n.send(n.to[edge], sink, min(most, n.room[edge])); sent > 0 {
			n.room[edge] -= sent
			n.room[edge^1] += sent
			return sent
		}
	}
	return 0
}
