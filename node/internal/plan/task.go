package plan

// task is one task of a stage.
type task struct {
	done       bool
	lastNumber int   // highest number of its runs
	failedRuns []int // numbers
	stalls     int   // how often a run of it was found stalled
	checkpoint string
	history    *taskHistory // nil for none
	run        *run         // current run, or nil
	unwanted   []*run       // other runs that may still exist
}

// startable reports whether a new run of the task may start. Beside other runs only a copy
// may.
func (t *task) startable(copies bool) bool {
	return !t.done && t.run == nil && (copies || len(t.unwanted) == 0)
}
