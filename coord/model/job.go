package model

import (
	"math"
	"strconv"
	"time"
)

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

// MaxTasks is the largest number of tasks of a job's steps together.
const MaxTasks = 100_000

// Check returns an *InvalidJobError if the job can't be scheduled: a step has no tasks, the
// steps together have more than MaxTasks, a task needs less than nothing, or a step depends on
// one that isn't before it.
func (j *Job) Check() error {
	tasks := 0
	for i := range j.Steps {
		s := &j.Steps[i]
		if s.Count < 1 || s.Count > MaxTasks-tasks {
			return &InvalidJobError{ID: j.ID, Text: "a step has no tasks, or the job has more than " + strconv.Itoa(MaxTasks)}
		}
		tasks += s.Count
		if s.Need.CPU < 0 || s.Need.Memory < 0 || s.Need.Accel < 0 {
			return &InvalidJobError{ID: j.ID, Text: "a task has a negative need"}
		}
		for _, a := range s.After {
			if a < 0 || a >= i {
				return &InvalidJobError{ID: j.ID, Text: "a step depends on a step that doesn't come before it"}
			}
		}
	}
	return nil
}

// InvalidJobError reports a job that can't be scheduled.
type InvalidJobError struct {
	ID   string // empty if the job has none yet
	Text string
}

// Error implements error.
func (e *InvalidJobError) Error() string {
	if e.ID == "" {
		return "job: " + e.Text
	}
	return "job " + e.ID + ": " + e.Text
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
	if j.Every > 0 && time.Duration(k) > math.MaxInt64/j.Every {
		return j.First.Add(math.MaxInt64)
	}
	return j.First.Add(time.Duration(k) * j.Every)
}
