package model

import "time"

// Queue is the configuration of a queue, to which jobs of one kind are
// submitted. It is stored with each job that the queue accepts, as part of the job's Terms,
// without the fields that only matter for requests.
type Queue struct {
	Name     string `cbor:"-"`                    // stored as the Queue of the job
	Host     string `cbor:"1,keyasint,omitempty"` // host name of the submitting requests
	Prefix   string `cbor:"2,keyasint,omitempty"` // path prefix of the submitting requests
	Service  string `cbor:"3,keyasint,omitempty"` // name of the service whose executors run the tasks
	Priority int    `cbor:"4,keyasint,omitempty"` // 0 is the highest
	Attempts int    `cbor:"5,keyasint,omitempty"` // the job fails when this many runs of a task have failed
	// The latency objective of a job is Stretch times the run time of its
	// longest chain of steps, plus Slack.
	Stretch float64       `cbor:"6,keyasint,omitempty"`
	Slack   time.Duration `cbor:"7,keyasint,omitempty"`
	Timeout time.Duration `cbor:"-"` // of one request
	Open    bool          `cbor:"-"` // no key is needed
	// If Advised is true, an adviser has to be queried for the executors that
	// may run a step. A query takes Decide, plus Each for each executor that it
	// names. The ticket that it returns expires after Valid.
	Advised bool          `cbor:"8,keyasint,omitempty"`
	Decide  time.Duration `cbor:"9,keyasint,omitempty"`
	Each    time.Duration `cbor:"10,keyasint,omitempty"`
	Valid   time.Duration `cbor:"11,keyasint,omitempty"`
}

// Owns reports whether a job that was accepted by the queue named name, at a host name and a
// path prefix, belongs to this queue. It does if the queue has been renamed since, or goes on at
// another address. The address is empty if it wasn't stored.
func (q *Queue) Owns(name, host, prefix string) bool {
	return name == q.Name || prefix != "" && host == q.Host && prefix == q.Prefix
}
