// Package exec runs quick requests. It queues each request, sends its start to
// the executor that the scheduler chose and streams the answer to the caller.
// After a failure the outcome claims only what is known: it is Unknown unless
// the run is known to have ended, or not to have started.
package exec
