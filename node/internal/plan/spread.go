package plan

import "slices"

// The tasks of a lasting step don't wait for one another, so that the loss of a zone should take
// few of them. Other steps are kept in one zone (zones.go), since one lost task holds them up.

// spreadTolerance is by how much the score of an executor may be worse for a task to go to a zone
// with fewer runs of its step. How well a task fits differs by less than this; slowness, data
// elsewhere and earlier failures count for more.
const spreadTolerance = 1.0

// spreadOverZones returns an executor for each of up to n tasks of a lasting stage, so that its
// runs lie evenly in the zones.
func (st *stage) spreadOverZones(fits []fit, n int) []*executor {
	slices.SortFunc(fits, compareFits)
	zones := zonesOf(fits)
	st.countRuns(zones)
	left := make([][]fit, len(zones)) // the best first
	for _, f := range fits {
		at := slices.IndexFunc(zones, func(z zoneUse) bool { return z.number == f.executor.zone })
		left[at] = append(left[at], f)
	}
	var out []*executor
	for len(out) < n {
		best := -1 // zone with the best executor
		for i := range left {
			if len(left[i]) > 0 && (best < 0 || left[i][0].score < left[best][0].score) {
				best = i
			}
		}
		if best < 0 {
			break
		}
		next, limit := best, left[best][0].score+spreadTolerance
		for i := range left {
			if len(left[i]) > 0 && left[i][0].score < limit && zones[i].runs < zones[next].runs {
				next = i
			}
		}
		out = append(out, left[next][0].executor)
		zones[next].runs++
		if left[next][0].tasks--; left[next][0].tasks == 0 {
			left[next] = left[next][1:]
		}
	}
	return out
}
