package plan

import (
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// A step whose tasks lie in one zone is hurt by the loss of that zone alone; with
// its tasks all over the cell nearly every step is hurt by each loss.

// rankZones ranks the zones for n more tasks of a stage, which fit as found says:
// first the one where the stage has most runs, if it has room for all, then one that
// has; which of several differs from step to step.
func (st *stage) rankZones(found []fit, n int) map[string]int {
	room := make(map[string]int)
	for _, f := range found {
		room[f.executor.info.Zone] += f.tasks
	}
	zones := slices.Sorted(maps.Keys(room))
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
		if d := fitsAll(room[b], n) - fitsAll(room[a], n); d != 0 {
			return d
		}
		if runs[a] != runs[b] {
			return runs[b] - runs[a]
		}
		if fitsAll(room[a], n) == 0 && room[a] != room[b] {
			return room[b] - room[a] // As few zones as can be.
		}
		return rotated[a] - rotated[b]
	})
	ranks := make(map[string]int, len(zones))
	for i, z := range zones {
		ranks[z] = i
	}
	return ranks
}

// fitsAll is 1 if room is enough for n tasks.
func fitsAll(room, n int) int {
	if room >= n {
		return 1
	}
	return 0
}

// runsByZone counts the stage's runs.
func (st *stage) runsByZone() map[string]int {
	out := make(map[string]int)
	for i := range st.tasks {
		if r := st.tasks[i].run; r != nil {
			out[r.executor.info.Zone]++
		}
	}
	return out
}
