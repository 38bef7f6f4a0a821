// Package bench drives the placer's decisions with a seeded list of arrivals
// on manual time and measures them: waiting time, packing, nearness to share
// and the time that decisions take. It is not a simulator of a cluster: no
// message, process or fault is modelled, and starts only take a fixed delay.
package bench
