package plan

import (
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// A step is placed in one zone if possible, so that the loss of another zone doesn't
// affect it. If steps were spread over all zones, the loss of any zone would affect
// nearly every step.

// rankZones returns the rank of each zone for n more tasks of a stage; fits says how
// many fit on which executor. Zones with capacity for all n come first, and among
// these those with the most runs of the stage. Ties are broken in an order that
// differs from step to step.
func (st *stage) rankZones(fits []fit, n int) map[string]int {
	capacity := make(map[string]int)
	for _, f := range fits {
		capacity[f.executor.info.Zone] += f.tasks
	}
	zones := slices.Sorted(maps.Keys(capacity))
	if len(zones) < 2 {
		return nil
	}
	runs := st.runsByZone()
	first := int(xxhash.Sum64String(st.occur.job.spec.ID)+uint64(st.index)) % len(zones)
	if first < 0 {
		first += len(zones)
	}
	rotated := make(map[string]int, len(zones))
	for i, z := range zones {
		rotated[z] = (i - first + len(zones)) % len(zones)
	}
	slices.SortFunc(zones, func(a, b string) int {
		if d := fitsAll(capacity[b], n) - fitsAll(capacity[a], n); d != 0 {
			return d
		}
		if runs[a] != runs[b] {
			return runs[b] - runs[a]
		}
		if fitsAll(capacity[a], n) == 0 && capacity[a] != capacity[b] {
			return capacity[b] - capacity[a] // Use as few zones as possible.
		}
		return rotated[a] - rotated[b]
	})
	ranks := make(map[string]int, len(zones))
	for i, z := range zones {
		ranks[z] = i
	}
	return ranks
}

// fitsAll returns 1 if capacity suffices for n tasks, and 0 otherwise.
func fitsAll(capacity, n int) int {
	if capacity >= n {
		return 1
	}
	return 0
}

// runsByZone returns the number of the stage's current runs in each zone.
func (st *stage) runsByZone() map[string]int {
	out := make(map[string]int)
	for i := range st.tasks {
		if r := st.tasks[i].run; r != nil {
			out[r.executor.info.Zone]++
		}
	}
	return out
}
