package plan

import (
	"cmp"
	"time"
)

// waitingStage is a stage with tasks to start.
type waitingStage struct {
	stage      *stage
	urgency    urgency
	rankedTill time.Time // after it, the rank is another one; zero for never
}

// compare returns a negative number if w goes before v. The stages of equal urgency have a fixed
// order, so that the order doesn't depend on when each of them came.
func (w *waitingStage) compare(v *waitingStage) int {
	if c := w.urgency.compare(v.urgency); c != 0 {
		return c
	}
	a, b := w.stage, v.stage
	return cmp.Or(cmp.Compare(a.occur.job.spec.ID, b.occur.job.spec.ID), cmp.Compare(a.occur.number, b.occur.number), cmp.Compare(a.index, b.index))
}

// rank sets the urgency at now.
func (w *waitingStage) rank(now time.Time) {
	w.urgency, w.rankedTill = w.stage.urgency(now), w.stage.nextRankChange(now)
}

// waits reports whether the stage has tasks that wait for nothing but a place.
func (st *stage) waits() bool {
	return st.waiting > 0 && !st.occur.job.phase.Final() && st.occur.ready(st)
}

// nextRankChange returns the time after which the stage's rank isn't the one at now, zero for never.
func (st *stage) nextRankChange(now time.Time) time.Time {
	if st.spec.Lasting || st.occur.job.mark == markLate {
		return time.Time{}
	}
	late := st.urgency(now).latestStart
	worthless := late.Add((lateFactor - 1) * st.occur.job.latencyObjective())
	switch {
	case now.After(worthless):
		return time.Time{}
	case now.After(late), worthless.Before(late):
		return worthless
	}
	return late
}
