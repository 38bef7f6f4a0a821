// Package model defines the scheduler's data types: teams and queues, jobs and
// their steps, executors, and runs of tasks. The types have no behaviour beyond
// arithmetic and identity. Values are passed between goroutines and must not be
// changed once they are shared.
package model
