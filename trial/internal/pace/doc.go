// Package pace measures what callers of a deployment get: the latency that
// the system adds to an endpoint's own, goodput beyond capacity, the time
// without service after an owner is killed, and what is lost while all hosts
// are replaced.
package pace
