// Package sched decides which waiting task starts on which endpoint. It does
// no I/O and starts no goroutine: its caller tells it what happens to
// endpoints and tasks, and carries out what Decide returns.
//
// The life of a task: Submit queues a request; Decide reserves room on an
// endpoint and returns the decision; the caller sends the start and then says
// Started, or Unsent if the start surely didn't happen, or Ended. A start
// whose outcome isn't known is told nothing about: its room stays taken until
// Ended, or until Drop forgets the endpoint.
//
// Executors and workers are two pools, each under its own lock. Quick
// requests go to executors, all others to workers.
package sched
