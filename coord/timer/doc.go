// Package timer provides the clock and the timers of a process. Components use a
// shared Service instead of the time package, so that tests can control time.
package timer
