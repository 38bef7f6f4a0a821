// Package sched decides which waiting task starts on which endpoint. It does
// no I/O and starts no goroutine: the caller reports changes of endpoints and
// tasks, and carries out the decisions that Decide returns.
//
// The lifecycle of a task: Submit queues a request. Decide allocates room on an
// endpoint and returns the decision. The caller sends the start and then calls
// Started if the task runs, Unsent if the start certainly didn't happen, or
// Ended if the task has ended. While the outcome of a start is unknown, the
// caller calls none of them, and the room stays allocated until it calls Ended
// for the task or Drop for the endpoint.
//
// Executors and workers form two pools, each with its own lock. Quick requests
// run on executors, all others on workers.
package sched
