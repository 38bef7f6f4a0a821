// Package trace reconstructs the history of a job from the JSON logs of all hosts. It
// sorts the job's log lines by time, merges in the ownership changes of the cell during
// that time, and derives why the job ended as it did.
package trace
