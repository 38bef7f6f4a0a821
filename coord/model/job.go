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
