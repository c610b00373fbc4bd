package place

import "math"

// unbounded is a capacity that never binds.
const unbounded = math.MaxFloat64 / 4

// network is a flow network for Dinic's algorithm with real capacities.
type network struct {
	head  []int
	next  []int
	to    []int
	left  []float64
	level []int
	turn  []int
	queue []int
	eps   float64
}

func (n *network) reset(nodes int) {
	n.head = resize(n.head, nodes)
	n.level = resize(n.level, nodes)
	n.turn = resize(n.turn, nodes)
	for i := range n.head {
		n.head[i] = -1
	}
	n.next, n.to, n.left = n.next[:0], n.to[:0], n.left[:0]
}

func resize(s []int, n int) []int {
	if cap(s) < n {
		return make([]int, n)
	}
	return s[:n]
}

// edge adds an edge and its reverse and returns its number.
func (n *network) edge(from, to int, capacity float64) int {
	id := len(n.to)
	n.to = append(n.to, to, from)
	n.left = append(n.left, capacity, 0)
	n.next = append(n.next, n.head[from], n.head[to])
	n.head[from], n.head[to] = id, id+1
	return id
}

// run raises the flow from s to t until it is at its maximum and returns what
// it added. Amounts below eps count as none.
func (n *network) run(s, t int) float64 {
	total := 0.0
	for n.reach(s, t) {
		copy(n.turn, n.head)
		for {
			f := n.push(s, t, unbounded)
			if f <= n.eps {
				break
			}
			total += f
		}
	}
	return total
}

// reach sets the levels from s; false if t cannot be reached. A node that
// cannot be reached has level -1: the levels are the minimum cut then.
func (n *network) reach(s, t int) bool {
	for i := range n.level {
		n.level[i] = -1
	}
	n.level[s] = 0
	n.queue = append(n.queue[:0], s)
	for i := 0; i < len(n.queue); i++ {
		u := n.queue[i]
		for e := n.head[u]; e >= 0; e = n.next[e] {
			if v := n.to[e]; n.left[e] > n.eps && n.level[v] < 0 {
				n.level[v] = n.level[u] + 1
				n.queue = append(n.queue, v)
			}
		}
	}
	return n.level[t] >= 0
}

func (n *network) push(u, t int, limit float64) float64 {
	if u == t {
		return limit
	}
	for ; n.turn[u] >= 0; n.turn[u] = n.next[n.turn[u]] {
		e := n.turn[u]
		v := n.to[e]
		if n.left[e] <= n.eps || n.level[v] != n.level[u]+1 {
			continue
		}
		if f := n.push(v, t, min(limit, n.left[e])); f > n.eps {
			n.left[e] -= f
			n.left[e^1] += f
			return f
		}
	}
	return 0
}
