package plan

import "time"

// Delay is how long the steps of a job waited to start tasks, by what kept them.
// Waits of several steps at a time count each.
type Delay struct {
	Limit  time.Duration // the team had no headroom under its limit
	Room   time.Duration // no suitable executor had room
	Advice time.Duration // the adviser's answer was missing
}

// cause is what keeps a stage from starting tasks.
type cause int

const (
	byLimit cause = iota
	byRoom
	byAdvice
)

// add counts d to a cause.
func (d *Delay) add(c cause, t time.Duration) {
	switch c {
	case byLimit:
		d.Limit += t
	case byRoom:
		d.Room += t
	case byAdvice:
		d.Advice += t
	}
}

// delayed notes that a stage has tasks left that can't start now.
func (st *stage) delayed(c cause, now time.Time) {
	if !st.tried.IsZero() {
		st.occur.job.delay.add(st.cause, now.Sub(st.tried))
	}
	st.tried, st.cause = now, c
}
