package model

import "time"

// Queue is the configuration of a queue, to which jobs of one kind are
// submitted.
type Queue struct {
	Name     string
	Host     string // host name of the submitting requests
	Prefix   string // path prefix of the submitting requests
	Service  string // name of the service whose executors run the tasks
	Priority int    // 0 is the highest
	Attempts int    // the job fails when this many runs of a task have failed
	// The latency objective of a job is Stretch times the run time of its
	// longest chain of steps, plus Slack.
	Stretch float64
	Slack   time.Duration
	Timeout time.Duration // of one request
	Open    bool          // no key is needed
	// If Advised is true, an adviser has to be queried for the executors that
	// may run a step. A query takes Decide, plus Each for each executor that it
	// names. The ticket that it returns expires after Valid.
	Advised bool
	Decide  time.Duration
	Each    time.Duration
	Valid   time.Duration
}
