package plan

import "time"

const (
	// moveBackoff is how long a task stays where it is after a move. It doubles with each
	// further move, up to maxMoveDoublings times, so that zones that are evacuated in turn
	// don't keep a task from its work.
	moveBackoff      = 10 * time.Second
	maxMoveDoublings = 8
)

// taskHistory is what is kept of a task that has saved a checkpoint or was moved. Most of the
// thousands of tasks have none.
type taskHistory struct {
	savedAt time.Time // when the latest checkpoint was first known
	moves   int       // out of evacuated zones
	movedAt time.Time
}

// keepHistory returns the task's history and creates it if necessary.
func (t *task) keepHistory() *taskHistory {
	if t.history == nil {
		t.history = &taskHistory{}
	}
	return t.history
}

// savedAt returns when the task's checkpoint was first known, the zero time for none.
func (t *task) savedAt() time.Time {
	if t.history == nil {
		return time.Time{}
	}
	return t.history.savedAt
}

// nextMove returns the time before which the task isn't moved, the zero time for none.
func (t *task) nextMove() time.Time {
	if t.history == nil || t.history.moves == 0 {
		return time.Time{}
	}
	return t.history.movedAt.Add(moveBackoff << min(t.history.moves-1, maxMoveDoublings))
}
