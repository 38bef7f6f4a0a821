package jobs

import (
	"cmp"
	"slices"
)

// portion is the part of a gang that is to run at one placer's endpoints.
type share struct {
	placer   string
	capacity int // how many of the tasks its endpoints could run
	numbers  []int
	grants   []grant
}

// split shares a gang's tasks out over placers by how many each could run. It
// returns nil if all together can't run them.
func splitGang(numbers []int, capacities []share) []share {
	total := 0
	for _, p := range capacities {
		total += p.capacity
	}
	if total < len(numbers) {
		return nil
	}
	out := make([]share, 0, len(capacities))
	capacities = slices.Clone(capacities)
	slices.SortFunc(capacities, func(a, b share) int { return cmp.Compare(a.placer, b.placer) })
	for _, p := range capacities {
		take := 0
		if total > 0 {
			take = min((len(numbers)*p.capacity+total-1)/total, p.capacity, len(numbers))
		}
		total -= p.capacity
		if take > 0 {
			out = append(out, share{placer: p.placer, capacity: p.capacity, numbers: numbers[:take]})
			numbers = numbers[take:]
		}
	}
	return out
}
