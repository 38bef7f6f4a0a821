// Package timer is the one source of time of a process. Parts subscribe to a
// Service instead of making timers of their own, so that a test can drive all
// of them by hand.
package timer
