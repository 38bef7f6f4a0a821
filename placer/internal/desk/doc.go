// Package desk connects the scheduler with the quick requests and jobs that it
// schedules. It forwards the events of endpoints and tasks to the scheduler, and
// delivers each decision, with the epoch of the endpoint's ownership, to the
// request or job that waits for it.
package desk
