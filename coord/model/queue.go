package model

import "time"

// Queue is where jobs of one kind are submitted.
type Queue struct {
	Name     string
	Host     string // of the submitting requests
	Prefix   string // of their paths
	Service  string // whose executors run the tasks
	Priority int    // 0 goes first
	Attempts int    // runs of a task that may fail before the job has
	Stretch  float64
	Slack    time.Duration // latency objective: Stretch times the longest chain of work, and Slack
	Timeout  time.Duration // of one request
	Open     bool          // no key is needed
	Advised  bool          // executors that may run a step have to be asked for
	Decide   time.Duration // time that one question takes
	Each     time.Duration // and for each executor that it names
	Valid    time.Duration // how long a ticket is good for
}
