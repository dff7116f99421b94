package queue

import (
	"cmp"
	"container/heap"
	"time"
)

// sooner reports whether an entry starts before another one of the same organisation or
// round. Entries that are late already follow the others: serving them first would make
// these late too.
func (it *item) sooner(other *item) bool {
	if it.Priority != other.Priority {
		return it.Priority < other.Priority
	}
	if it.late != other.late {
		return other.late
	}
	if it.Due != other.Due {
		return it.Due < other.Due
	}
	return it.flow == other.flow && it.ID < other.ID
}

// orderHeap is a min-heap in the order in which entries start.
type orderHeap []*item

// first returns the first entry of a heap that is not empty.
func (h *orderHeap) first(now time.Duration) *item {
	for {
		it := (*h)[0]
		if it.late || it.Due == 0 || it.Due > now {
			return it
		}
		it.late = true
		heap.Fix(h, 0)
	}
}

func (h orderHeap) Len() int           { return len(h) }
func (h orderHeap) Less(i, j int) bool { return h[i].sooner(h[j]) }

func (h orderHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *orderHeap) Push(x any) {
	it := x.(*item)
	it.index = len(*h)
	*h = append(*h, it)
}

func (h *orderHeap) Pop() any {
	old := *h
	it := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return it
}

// deadlineHeap is a min-heap ordered by deadline, then by ID.
type deadlineHeap []*item

func (h deadlineHeap) Len() int { return len(h) }

func (h deadlineHeap) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(h[i].Deadline, h[j].Deadline), cmp.Compare(h[i].ID, h[j].ID)) < 0
}

func (h deadlineHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].deadlineIndex, h[j].deadlineIndex = i, j
}

func (h *deadlineHeap) Push(x any) {
	it := x.(*item)
	it.deadlineIndex = len(*h)
	*h = append(*h, it)
}

func (h *deadlineHeap) Pop() any {
	old := *h
	it := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return it
}
