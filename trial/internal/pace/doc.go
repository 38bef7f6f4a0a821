// Package pace measures a deployment from its callers' side: the latency that
// the system adds to that of an endpoint, goodput under overload, fairness
// between teams, the effect of a slow executor, the time without service after
// an owner is killed, and the requests lost while all hosts are replaced.
package pace
