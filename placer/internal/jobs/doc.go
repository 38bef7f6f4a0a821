// Package jobs runs batch, service and gang requests. A job is a row in the
// platform's table, and the placer named in the row is its driver. The driver
// writes a task's attempt to the row before it sends the start, receives the end
// of the attempt from the owner of the endpoint, and restarts a task only once
// the previous attempt is known to have ended. Each change of driver increments
// the row's epoch, so the next write of a replaced driver fails and it stops.
//
// A gang that no placer can run alone reserves capacity at several placers and is
// started once all of its tasks have capacity. Tasks of batch jobs can be
// offloaded to the queue of another placer.
package jobs
