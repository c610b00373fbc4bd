package place

import "math"

// unbounded is a capacity that never limits the flow.
const unbounded = math.MaxFloat64 / 4

// network is a flow network for Dinic's algorithm with real-valued capacities.
type network struct {
	firstEdge   []int
	nextEdge    []int
	edgeTarget  []int
	residual    []float64
	level       []int
	currentEdge []int
	queue       []int
	eps         float64
}

func (n *network) reset(nodes int) {
	n.firstEdge = resize(n.firstEdge, nodes)
	n.level = resize(n.level, nodes)
	n.currentEdge = resize(n.currentEdge, nodes)
	for i := range n.firstEdge {
		n.firstEdge[i] = -1
	}
	n.nextEdge, n.edgeTarget, n.residual = n.nextEdge[:0], n.edgeTarget[:0], n.residual[:0]
}

func resize(s []int, n int) []int {
	if cap(s) < n {
		return make([]int, n)
	}
	return s[:n]
}

// addEdge adds an edge and its reverse edge and returns the index of the edge.
// The reverse edge has the index with the lowest bit flipped.
func (n *network) addEdge(from, to int, capacity float64) int {
	id := len(n.edgeTarget)
	n.edgeTarget = append(n.edgeTarget, to, from)
	n.residual = append(n.residual, capacity, 0)
	n.nextEdge = append(n.nextEdge, n.firstEdge[from], n.firstEdge[to])
	n.firstEdge[from], n.firstEdge[to] = id, id+1
	return id
}

// maxFlow augments the flow from s to t to its maximum and returns how much it
// added. Amounts of at most eps count as zero.
func (n *network) maxFlow(s, t int) float64 {
	total := 0.0
	for n.buildLevels(s, t) {
		copy(n.currentEdge, n.firstEdge)
		for {
			f := n.augment(s, t, unbounded)
			if f <= n.eps {
				break
			}
			total += f
		}
	}
	return total
}

// buildLevels sets the distance of each node from s in the residual network. It
// returns false if t is unreachable. Unreachable nodes have level -1, so the
// levels then describe the minimum cut.
func (n *network) buildLevels(s, t int) bool {
	for i := range n.level {
		n.level[i] = -1
	}
	n.level[s] = 0
	n.queue = append(n.queue[:0], s)
	for i := 0; i < len(n.queue); i++ {
		u := n.queue[i]
		for e := n.firstEdge[u]; e >= 0; e = n.nextEdge[e] {
			if v := n.edgeTarget[e]; n.residual[e] > n.eps && n.level[v] < 0 {
				n.level[v] = n.level[u] + 1
				n.queue = append(n.queue, v)
			}
		}
	}
	return n.level[t] >= 0
}

func (n *network) augment(u, t int, limit float64) float64 {
	if u == t {
		return limit
	}
	for ; n.currentEdge[u] >= 0; n.currentEdge[u] = n.nextEdge[n.currentEdge[u]] {
		e := n.currentEdge[u]
		v := n.edgeTarget[e]
		if n.residual[e] <= n.eps || n.level[v] != n.level[u]+1 {
			continue
		}
		if f := n.augment(v, t, min(limit, n.residual[e])); f > n.eps {
			n.residual[e] -= f
			n.residual[e^1] += f
			return f
		}
	}
	return 0
}
