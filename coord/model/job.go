package model

import "time"

// Job is a submitted piece of work.
type Job struct {
	ID    string        `cbor:"1,keyasint"`
	Queue string        `cbor:"2,keyasint"`           // name of its queue
	Team  string        `cbor:"3,keyasint,omitempty"` // empty if the queue needs no key
	Spec  string        `cbor:"4,keyasint,omitempty"` // passed to each task
	Steps []Step        `cbor:"5,keyasint"`
	Times int           `cbor:"6,keyasint,omitempty"` // number of occurrences; 0 for a job that runs once, immediately
	First time.Time     `cbor:"7,keyasint,omitempty"` // when the first occurrence is due
	Every time.Duration `cbor:"8,keyasint,omitempty"` // time between occurrences
	Sent  time.Time     `cbor:"9,keyasint,omitempty"` // when it was accepted, by the accepting host's clock
	// Terms are what it was accepted under, nil if it was accepted by a program that didn't
	// store them.
	Terms *Terms `cbor:"10,keyasint,omitempty"`
}

// Terms are the settings under which a job was accepted. They hold for it while the
// configuration lacks its queue or its team, since these may be removed before it has ended.
type Terms struct {
	Queue Queue  `cbor:"1,keyasint"`
	Limit Amount `cbor:"2,keyasint"` // of its team
}

// Address returns the host name and the path prefix at which the job was submitted; both are
// empty if they weren't stored.
func (j *Job) Address() (host, prefix string) {
	if j.Terms == nil {
		return "", ""
	}
	return j.Terms.Queue.Host, j.Terms.Queue.Prefix
}

// Occurrences returns the number of times that the steps run.
func (j *Job) Occurrences() int { return max(1, j.Times) }

// Due returns when occurrence k, counted from 0, may start. The zero time means
// immediately.
func (j *Job) Due(k int) time.Time {
	if j.Times == 0 {
		return time.Time{}
	}
	return j.First.Add(time.Duration(k) * j.Every)
}
