// Package plan decides what runs where: which jobs wait, which tasks start on
// which executor, which runs stop, and when the placement adviser is asked. It
// has no clock, starts no goroutine and does no I/O: callers report events with
// their time and carry out the orders that Decide returns.
//
// A State holds jobs, each with its occurrences, stages (steps of an
// occurrence) and tasks, and executors with the runs on them. It is not safe
// for concurrent use.
package plan
