// Package judge checks the invariants of the system against a record of one
// trial. The record comes from the endpoints' logs, the callers, the process
// exits and the status pages; no internal state of the scheduler is used.
package judge
