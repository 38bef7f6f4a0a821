package plan

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// A step is placed in one zone if possible, so that the loss of another zone doesn't
// affect it. If steps were spread over all zones, the loss of any zone would affect
// nearly every step.

// zoneUse is what rankZones knows of a zone.
type zoneUse struct {
	name     string
	number   int
	capacity int     // tasks of the stage that fit
	slowness float64 // sum of ownTime over them
	runs     int     // current runs of the stage
	rotated  int     // position in an order that differs from step to step
}

// rankZones sets the ranks of the executors' zones in fits, for n more tasks of the stage.
// Zones with capacity for all n come first; among these, for an urgent stage, those that aren't
// slow; and then those with the most runs of the stage. Ties are broken in an order that differs from step to step.
func (st *stage) rankZones(fits []fit, n int) {
	zones := zonesOf(fits)
	if len(zones) < 2 {
		return
	}
	st.countRuns(zones)
	slices.SortFunc(zones, func(a, b zoneUse) int { return cmp.Compare(a.name, b.name) })
	first := int((xxhash.Sum64String(st.occur.job.spec.ID) + uint64(st.index)) % uint64(len(zones)))
	for i := range zones {
		zones[i].rotated = (i - first + len(zones)) % len(zones)
	}
	slices.SortFunc(zones, func(a, b zoneUse) int {
		if d := fitsAll(b.capacity, n) - fitsAll(a.capacity, n); d != 0 {
			return d
		}
		if a.slow() != b.slow() && st.urgent() {
			return cmp.Compare(a.slow(), b.slow())
		}
		if a.runs != b.runs {
			return b.runs - a.runs
		}
		if fitsAll(a.capacity, n) == 0 && a.capacity != b.capacity {
			return b.capacity - a.capacity // Use as few zones as possible.
		}
		return a.rotated - b.rotated
	})
	for i := range fits {
		fits[i].zoneRank = slices.IndexFunc(zones, func(z zoneUse) bool { return z.number == fits[i].executor.zone })
	}
}

// countRuns adds the current runs of the stage to their zones.
func (st *stage) countRuns(zones []zoneUse) {
	for i := range st.tasks {
		if r := st.tasks[i].run; r != nil {
			if z := findZone(zones, r.executor.zone); z != nil {
				z.runs++
			}
		}
	}
}

// zonesOf returns the zones of executors with their capacity.
func zonesOf(fits []fit) []zoneUse {
	var zones []zoneUse
	for i := range fits {
		e := fits[i].executor
		z := findZone(zones, e.zone)
		if z == nil {
			zones = append(zones, zoneUse{name: e.info.Zone, number: e.zone})
			z = &zones[len(zones)-1]
		}
		z.capacity += fits[i].tasks
		z.slowness += float64(fits[i].tasks) * e.ownTime
	}
	return zones
}

// findZone returns the zone with a number, or nil.
func findZone(zones []zoneUse, number int) *zoneUse {
	for i := range zones {
		if zones[i].number == number {
			return &zones[i]
		}
	}
	return nil
}

// fitsAll returns 1 if capacity suffices for n tasks, and 0 otherwise.
func fitsAll(capacity, n int) int {
	if capacity >= n {
		return 1
	}
	return 0
}

// slow returns 1 if the zone's executors are slow on average, and 0 otherwise: most of
// them may have started a short while ago.
func (z *zoneUse) slow() int {
	if z.slowness > slowRatio*float64(z.capacity) {
		return 1
	}
	return 0
}
