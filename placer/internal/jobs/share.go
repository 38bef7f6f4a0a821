package jobs

import (
	"cmp"
	"slices"
)

// share is the part of a gang that is to run at one placer's endpoints.
type share struct {
	placer   string
	capacity int   // how many of the tasks its endpoints could run if they were idle
	numbers  []int // indexes of the tasks
	grants   []grant
}

// splitGang distributes a gang's tasks over placers in proportion to the
// capacity of each. numbers are the tasks' indexes. It returns nil if the total
// capacity is too small.
func splitGang(numbers []int, capacities []share) []share {
	remaining := 0
	for _, s := range capacities {
		remaining += s.capacity
	}
	if remaining < len(numbers) {
		return nil
	}
	out := make([]share, 0, len(capacities))
	capacities = slices.Clone(capacities)
	slices.SortFunc(capacities, func(a, b share) int { return cmp.Compare(a.placer, b.placer) })
	for _, s := range capacities {
		take := 0
		if remaining > 0 {
			take = min((len(numbers)*s.capacity+remaining-1)/remaining, s.capacity, len(numbers))
		}
		remaining -= s.capacity
		if take > 0 {
			out = append(out, share{placer: s.placer, capacity: s.capacity, numbers: numbers[:take]})
			numbers = numbers[take:]
		}
	}
	return out
}
