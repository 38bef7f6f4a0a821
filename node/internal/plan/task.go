package plan

import "slices"

// task is one task of a stage.
type task struct {
	done       bool
	lastNumber int   // highest number of a run
	failedRuns []int // numbers of failed runs
	checkpoint string
	run        *run   // the present one, nil for none
	unwanted   []*run // other runs that are or may be present and aren't wanted
}

// startable reports whether a run of the task may start.
func (t *task) startable() bool { return !t.done && t.run == nil && len(t.unwanted) == 0 }

// addFailure notes a failed run and reports whether it wasn't known.
func (t *task) addFailure(number int) bool {
	if slices.Contains(t.failedRuns, number) {
		return false
	}
	t.failedRuns = append(t.failedRuns, number)
	t.lastNumber = max(t.lastNumber, number)
	return true
}
