package load

import "math"

// maxTree is an array whose tail can be raised and whose largest element of a tail
// can be found, both in logarithmic time.
type maxTree struct {
	size int
	// best is the largest element below a node without the additions above it, at
	// its index, and add the pending addition of the node.
	best, add []float64
	at        []int
}

func newMaxTree(values []float64) *maxTree {
	size := 1
	for size < len(values) {
		size *= 2
	}
	t := &maxTree{size: size, best: make([]float64, 2*size), add: make([]float64, 2*size), at: make([]int, 2*size)}
	for i := range size {
		t.at[size+i] = i
		t.best[size+i] = math.Inf(-1)
		if i < len(values) {
			t.best[size+i] = values[i]
		}
	}
	for node := size - 1; node > 0; node-- {
		t.pull(node)
	}
	return t
}

func (t *maxTree) pull(node int) {
	best := 2 * node
	if t.best[best+1] > t.best[best] {
		best++
	}
	t.best[node], t.at[node] = t.best[best]+t.add[node], t.at[best]
}

// addFrom adds to all elements from first on.
func (t *maxTree) addFrom(first int, value float64) { t.raise(1, 0, t.size, first, value) }

func (t *maxTree) raise(node, low, high, first int, value float64) {
	switch {
	case high <= first:
		return
	case low >= first:
		t.best[node] += value
		t.add[node] += value
		return
	}
	middle := (low + high) / 2
	t.raise(2*node, low, middle, first, value)
	t.raise(2*node+1, middle, high, first, value)
	t.pull(node)
}

// maxFrom returns the largest element from first on and its index.
func (t *maxTree) maxFrom(first int) (float64, int) { return t.query(1, 0, t.size, first) }

func (t *maxTree) query(node, low, high, first int) (float64, int) {
	if high <= first {
		return math.Inf(-1), 0
	}
	if low >= first {
		return t.best[node], t.at[node]
	}
	middle := (low + high) / 2
	left, leftAt := t.query(2*node, low, middle, first)
	right, rightAt := t.query(2*node+1, middle, high, first)
	if right > left {
		left, leftAt = right, rightAt
	}
	return left + t.add[node], leftAt
}
