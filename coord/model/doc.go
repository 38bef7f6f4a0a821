// Package model holds what the parts of the scheduler say to one another about
// work: teams and queues, jobs with their steps, executors, and runs of tasks.
// The values carry no behaviour beyond arithmetic and identity; they are copied
// between goroutines and must not be changed once they are shared.
package model
