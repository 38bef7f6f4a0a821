// Package plan makes the scheduling decisions of a cell: which jobs wait, which tasks
// start on which executor, which runs are stopped, and when the placement adviser is
// queried. It has no clock, starts no goroutine and does no I/O: callers report
// events with their time and carry out the orders that Decide returns.
//
// A State holds jobs and executors. A job has one or more occurrences, an occurrence
// has one stage for each step of the job, and a stage has tasks. A run is one attempt
// to execute a task; a task has at most one current run, and starts no other while
// any run of it may exist. A State is not safe for concurrent use.
//
// Each owner of the cell has its own State. A new owner restores it from the records
// of earlier owners and from the executors' reports. Until the executors have
// reported, there may be runs that it doesn't know.
package plan
