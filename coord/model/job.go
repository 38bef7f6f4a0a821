package model

import "time"

// Job is a submitted piece of work.
type Job struct {
	ID    string        `cbor:"1,keyasint"`
	Queue string        `cbor:"2,keyasint"`           // name of its queue
	Team  string        `cbor:"3,keyasint,omitempty"` // empty on a queue that is open to all
	Spec  string        `cbor:"4,keyasint,omitempty"` // given to each task
	Steps []Step        `cbor:"5,keyasint"`
	Times int           `cbor:"6,keyasint,omitempty"` // occurrences; 0 for a job that runs once, at once
	First time.Time     `cbor:"7,keyasint,omitempty"` // when the first occurrence is due
	Every time.Duration `cbor:"8,keyasint,omitempty"` // between occurrences
	Sent  time.Time     `cbor:"9,keyasint,omitempty"` // when it was accepted, by the clock of the host that did
}

// Occurrences returns how often the steps run.
func (j *Job) Occurrences() int { return max(1, j.Times) }

// Due returns when occurrence k may start; the zero time is at once.
func (j *Job) Due(k int) time.Time {
	if j.Times == 0 {
		return time.Time{}
	}
	return j.First.Add(time.Duration(k) * j.Every)
}
