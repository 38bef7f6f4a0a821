package plan

import "slices"

// task is one task of a stage.
type task struct {
	done       bool
	last       int   // highest number of a run
	failed     []int // numbers of failed runs
	checkpoint string
	run        *run   // the present one, nil for none
	spares     []*run // other runs that are or may be present and aren't wanted
}

// idle reports whether a run of the task may start.
func (t *task) idle() bool { return !t.done && t.run == nil && len(t.spares) == 0 }

// fail notes a failed run and reports whether it wasn't known.
func (t *task) fail(number int) bool {
	if slices.Contains(t.failed, number) {
		return false
	}
	t.failed = append(t.failed, number)
	t.last = max(t.last, number)
	return true
}
