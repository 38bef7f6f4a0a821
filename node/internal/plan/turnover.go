package plan

import (
	"math"
	"time"
)

const (
	// turnoverTime is the time constant with which ends of runs are forgotten.
	turnoverTime = 5 * time.Second
	// expectedTurnover is the part of all capacity that becomes free in a second until ends
	// have been seen for a while: tasks take some seconds. It counts as if it had been seen
	// for turnoverPriorTime, so that the estimate never falls to 0 while only long tasks run.
	expectedTurnover  = 0.2
	turnoverPriorTime = 500 * time.Millisecond
)

// turnover learns how fast capacity becomes free. The zero value expects expectedTurnover.
type turnover struct {
	freed     int64         // by runs that have ended since updatedAt, in thousandths of a core
	part      float64       // of all capacity that became free, decaying
	observed  time.Duration // in which that was, decaying
	updatedAt time.Time
}

// note notes that a run has ended that used cpu thousandths of a core.
func (t *turnover) note(cpu int64) { t.freed += cpu }

// update takes the ends into account that were noted since the last update. total is the capacity
// of the executors on which they were.
func (t *turnover) update(total int64, now time.Time) {
	passed := now.Sub(t.updatedAt)
	if !t.updatedAt.IsZero() && passed > 0 && total > 0 {
		keep := math.Exp(-float64(passed) / float64(turnoverTime))
		t.part = t.part*keep + float64(t.freed)/float64(total)
		t.observed = time.Duration(float64(t.observed)*keep) + passed
	}
	t.freed, t.updatedAt = 0, now
}

// share returns the part of all capacity that becomes free in a second.
func (t *turnover) share() float64 {
	return (t.part + expectedTurnover*turnoverPriorTime.Seconds()) / (t.observed + turnoverPriorTime).Seconds()
}

// capacity returns the processors of all executors, in thousandths of a core.
func (s *State) capacity() int64 {
	total := int64(0)
	for _, e := range s.executors {
		total += e.info.Room.CPU
	}
	return total
}
