// Package jobs drives batch, service and gang requests. A job is a row of the
// platform's table; the placer that the row names drives it: it writes a
// task's attempt before the start leaves, learns of its end from the owner of
// the endpoint, and restarts what may be restarted once the old run is known
// to have ended. Each change of driver raises the row's epoch, so a driver
// that was replaced loses its next write and stops.
package jobs
