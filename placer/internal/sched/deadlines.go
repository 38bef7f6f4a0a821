package sched

// deadlines is a min-heap of waiting entries, ordered by start deadline.
type deadlines []*entry

// Len implements heap.Interface.
func (d deadlines) Len() int { return len(d) }

// Less implements heap.Interface.
func (d deadlines) Less(i, j int) bool { return d[i].item.Deadline.Before(d[j].item.Deadline) }

// Swap implements heap.Interface.
func (d deadlines) Swap(i, j int) {
	d[i], d[j] = d[j], d[i]
	d[i].heapIndex, d[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (d *deadlines) Push(x any) {
	e := x.(*entry)
	e.heapIndex = len(*d)
	*d = append(*d, e)
}

// Pop implements heap.Interface.
func (d *deadlines) Pop() any {
	old := *d
	e := old[len(old)-1]
	old[len(old)-1] = nil
	*d = old[:len(old)-1]
	e.heapIndex = -1
	return e
}
