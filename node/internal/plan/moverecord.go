package plan

import "time"

const (
	// moveBackoff is how long a task stays where it is after a move. It doubles with each
	// further move, up to maxMoveDoublings times, so that zones that are evacuated in turn
	// don't keep a task from its work.
	moveBackoff      = 10 * time.Second
	maxMoveDoublings = 8
)

// moveRecord is what is kept of the moves of a task. The zero value stands for none.
type moveRecord struct {
	count int
	last  time.Time
}

// next returns the time before which the task isn't moved again.
func (m moveRecord) next() time.Time {
	if m.count == 0 {
		return time.Time{}
	}
	return m.last.Add(moveBackoff << min(m.count-1, maxMoveDoublings))
}
