package plan

import (
	"slices"
	"time"
)

// A burst leaves thousands of waiting tasks in a thousand stages or more, and the owner decides every
// 10 ms. Between two decisions a few stages come and go, so their order is kept. Collecting all
// of them from the jobs and sorting them took half of the time of each decision.

// waitOrder keeps the stages that may start tasks in order, the most urgent first.
//
// Whatever may let a stage wait is noted with add or addJob: an occurrence begins, the last task of
// a step is done, or a task loses its run. What ends a wait isn't noted: update finds it. A change of
// the configuration is noted with changeTerms. Ranks change with time at known moments only.
type waitOrder struct {
	sorted    []waitingStage // of the last update; some may have ceased to wait since
	added     []*stage       // may wait and aren't in sorted
	unbegun   []*job         // jobs with occurrences that haven't begun
	updatedAt time.Time
	unsorted  bool // the terms of jobs have changed since the last update
}

// addJob takes in a new job. Its occurrences begin when they are due.
func (o *waitOrder) addJob(j *job) {
	j.order = o
	o.unbegun = append(o.unbegun, j)
}

// add takes in a stage that may have begun to wait.
func (o *waitOrder) add(st *stage) {
	if !st.ordered {
		st.ordered = true
		o.added = append(o.added, st)
	}
}

// changeTerms notes that the settings of queues may have changed, on which the urgency depends.
func (o *waitOrder) changeTerms() { o.unsorted = true }

// beginDue begins the occurrences that are due.
func (o *waitOrder) beginDue(now time.Time, recordSize int) {
	o.unbegun = slices.DeleteFunc(o.unbegun, func(j *job) bool {
		if j.phase.Final() {
			return true
		}
		j.beginDue(now, recordSize)
		return j.next >= j.spec.Occurrences()
	})
}

// update returns the stages that wait at now, in order. The slice is valid until the next call.
func (o *waitOrder) update(now time.Time) []waitingStage {
	all := o.unsorted || now.Before(o.updatedAt) // Clocks may be set back.
	o.unsorted, o.updatedAt = false, now
	kept := o.sorted[:0]
	var moved []waitingStage
	for _, w := range o.sorted {
		switch {
		case !w.stage.waits():
			w.stage.ordered = false
		case all || !w.rankedTill.IsZero() && now.After(w.rankedTill):
			w.rank(now)
			moved = append(moved, w)
		default:
			kept = append(kept, w)
		}
	}
	for _, st := range o.added {
		if st.ordered = st.waits(); st.ordered {
			w := waitingStage{stage: st}
			w.rank(now)
			moved = append(moved, w)
		}
	}
	clear(o.sorted[len(kept):])
	clear(o.added)
	o.sorted, o.added = kept, o.added[:0]
	o.merge(moved)
	return o.sorted
}

// merge adds stages at their places.
func (o *waitOrder) merge(moved []waitingStage) {
	slices.SortFunc(moved, func(a, b waitingStage) int { return a.compare(&b) })
	last := len(o.sorted) - 1
	o.sorted = append(o.sorted, moved...)
	for at := len(o.sorted) - 1; len(moved) > 0; at-- {
		next := &moved[len(moved)-1]
		if last >= 0 && o.sorted[last].compare(next) > 0 {
			o.sorted[at] = o.sorted[last]
			last--
			continue
		}
		o.sorted[at] = *next
		moved = moved[:len(moved)-1]
	}
}

// addStages takes in the stages of an occurrence that has begun, or of which a step is done.
func (o *occurrence) addStages() {
	for _, st := range o.stages {
		if st.waiting > 0 {
			o.job.order.add(st)
		}
	}
}
