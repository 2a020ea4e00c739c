package mover

// network is a small directed graph with integer capacities and a maximum flow by
// Dinic's algorithm. An edge's residual capacity may be changed between two calls of
// pushFlow. Flow out of the source is never withdrawn, so later calls keep what
// earlier calls sent from each source edge.
type network struct {
	outEdges [][]int
	to       []int
	// capacity holds the residual capacity of each edge. The reverse of edge i is
	// edge i^1.
	capacity []int
	level    []int
	nextEdge []int
}

const unreached = -1

// node adds a node and returns its number.
func (n *network) node() int {
	n.outEdges = append(n.outEdges, nil)
	return len(n.outEdges) - 1
}

// edge adds an edge with its reverse edge and returns its number.
func (n *network) edge(from, to, capacity int) int {
	number := len(n.to)
	n.outEdges[from] = append(n.outEdges[from], number)
	n.outEdges[to] = append(n.outEdges[to], number+1)
	n.to = append(n.to, to, from)
	n.capacity = append(n.capacity, capacity, 0)
	return number
}

// flow returns the flow through an edge, which is the residual capacity of its
// reverse edge.
func (n *network) flow(edge int) int { return n.capacity[edge^1] }

// pushFlow adds as much flow as possible from source to sink and returns the amount
// added.
func (n *network) pushFlow(source, sink int) int {
	total := 0
	for n.buildLevels(source, sink) {
		n.nextEdge = make([]int, len(n.outEdges))
		for {
			sent := n.augment(source, sink, int(^uint(0)>>1))
			if sent == 0 {
				break
			}
			total += sent
		}
	}
	return total
}

// buildLevels computes each node's distance from the source over edges with residual
// capacity and reports whether the sink is reachable.
func (n *network) buildLevels(source, sink int) bool {
	n.level = make([]int, len(n.outEdges))
	for i := range n.level {
		n.level[i] = unreached
	}
	n.level[source] = 0
	queue := []int{source}
	for len(queue) > 0 {
		node := queue[0]
		queue = queue[1:]
		for _, edge := range n.outEdges[node] {
			if n.capacity[edge] > 0 && n.level[n.to[edge]] == unreached {
				n.level[n.to[edge]] = n.level[node] + 1
				queue = append(queue, n.to[edge])
			}
		}
	}
	return n.level[sink] != unreached
}

// augment sends up to limit along one shortest path from node to sink and returns the
// amount sent.
func (n *network) augment(node, sink, limit int) int {
	if node == sink {
		return limit
	}
	for ; n.nextEdge[node] < len(n.outEdges[node]); n.nextEdge[node]++ {
		edge := n.outEdges[node][n.nextEdge[node]]
		if n.capacity[edge] == 0 || n.level[n.to[edge]] != n.level[node]+1 {
			continue
		}
		if sent := n.augment(n.to[edge], sink, min(limit, n.capacity[edge])); sent > 0 {
			n.capacity[edge] -= sent
			n.capacity[edge^1] += sent
			return sent
		}
	}
	return 0
}
