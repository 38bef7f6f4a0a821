package model

// Run is a run of a task that an executor reports as present.
type Run struct {
	Task       Task
	Number     int    // rises with each start of the task
	Checkpoint string // latest saved progress, empty for none
	Percent    int    // how far it has come; a lasting task is at work at 100
	Gauge      int64  // tail latency in ms of a lasting task with a target, CPU in use of others
}
