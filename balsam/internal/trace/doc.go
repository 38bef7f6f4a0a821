// Package trace explains what became of a job by the logs of all hosts: it reads
// their JSON lines, orders those of the job by time, together with the changes of the
// cell's owner meanwhile, and names the cause of its end.
package trace
