package timer

// timerHeap is a min-heap of timers by due time. Timers that are due at the same
// time stay in the order in which they were scheduled.
type timerHeap []*Timer

// Len implements heap.Interface.
func (e timerHeap) Len() int { return len(e) }

// Less implements heap.Interface.
func (e timerHeap) Less(i, j int) bool {
	if e[i].due.Equal(e[j].due) {
		return e[i].seq < e[j].seq
	}
	return e[i].due.Before(e[j].due)
}

// Swap implements heap.Interface.
func (e timerHeap) Swap(i, j int) {
	e[i], e[j] = e[j], e[i]
	e[i].index, e[j].index = i, j
}

// Push implements heap.Interface.
func (e *timerHeap) Push(x any) {
	t := x.(*Timer)
	t.index = len(*e)
	*e = append(*e, t)
}

// Pop implements heap.Interface.
func (e *timerHeap) Pop() any {
	old := *e
	t := old[len(old)-1]
	old[len(old)-1] = nil
	*e = old[:len(old)-1]
	t.index = -1
	return t
}
