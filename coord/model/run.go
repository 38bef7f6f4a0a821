package model

// Run is a run of a task that an executor reports as present.
type Run struct {
	Task       Task
	Number     int    // increases with each start of the task
	Checkpoint string // latest saved progress, empty for none
	Percent    int    // progress; a lasting task is in service at 100
	Gauge      int64  // of a lasting task with a target: tail latency in ms; of others: CPU in use
}
