package plan

import "time"

// Delay is the time for which steps of a job had tasks that couldn't start, by cause.
// If several steps wait at the same time, each of them counts.
type Delay struct {
	Limit  time.Duration // the team's limit was reached
	Room   time.Duration // no suitable executor had capacity
	Advice time.Duration // the adviser hadn't answered
}

// blockCause is the reason why a stage can't start tasks.
type blockCause int

const (
	blockedByLimit blockCause = iota
	blockedByCapacity
	blockedByAdvice
)

// add adds a waiting time to the total of its cause.
func (d *Delay) add(cause blockCause, waited time.Duration) {
	switch cause {
	case blockedByLimit:
		d.Limit += waited
	case blockedByCapacity:
		d.Room += waited
	case blockedByAdvice:
		d.Advice += waited
	}
}

// noteBlocked notes that a stage has tasks that can't start now, and why. It adds the
// time since the previous such call to the job's delay, under the earlier cause.
func (st *stage) noteBlocked(c blockCause, now time.Time) {
	if !st.lastBlocked.IsZero() {
		st.occur.job.delay.add(st.blockCause, now.Sub(st.lastBlocked))
	}
	st.lastBlocked, st.blockCause = now, c
}

// Longest returns the longest wait and its cause: limit, room or advice.
func (d *Delay) Longest() (string, time.Duration) {
	switch {
	case d.Limit >= d.Room && d.Limit >= d.Advice:
		return "limit", d.Limit
	case d.Room >= d.Advice:
		return "room", d.Room
	}
	return "advice", d.Advice
}
