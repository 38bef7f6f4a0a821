// Package queue connects the scheduler with the quick requests and jobs that wait
// for it. Its Dispatcher runs the scheduling passes, forwards the events of
// endpoints and tasks to the scheduler, and delivers each decision, with the epoch
// of the endpoint's ownership, to the request or job that waits for it.
package queue
