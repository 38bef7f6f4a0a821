package plan

import "time"

// Delay is how long the steps of a job waited to start tasks, by what kept them.
// Waits of several steps at a time count each.
type Delay struct {
	Limit  time.Duration // the team had no headroom under its limit
	Room   time.Duration // no suitable executor had room
	Advice time.Duration // the adviser's answer was missing
}

// blockCause is what keeps a stage from starting tasks.
type blockCause int

const (
	blockedByLimit blockCause = iota
	blockedByRoom
	blockedByAdvice
)

// add counts d to a cause.
func (d *Delay) add(cause blockCause, waited time.Duration) {
	switch cause {
	case blockedByLimit:
		d.Limit += waited
	case blockedByRoom:
		d.Room += waited
	case blockedByAdvice:
		d.Advice += waited
	}
}

// noteBlocked notes that a stage has tasks left that can't start now.
func (st *stage) noteBlocked(c blockCause, now time.Time) {
	if !st.blockedSince.IsZero() {
		st.occur.job.delay.add(st.blockCause, now.Sub(st.blockedSince))
	}
	st.blockedSince, st.blockCause = now, c
}
