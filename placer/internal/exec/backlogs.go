package exec

import (
	"sync"
	"time"
)

// backlogs holds the backlog of each class. All methods may be called
// concurrently.
type backlogs struct {
	mu      sync.Mutex // guards byClass
	byClass map[class]*backlog
}

func newBacklogs() *backlogs { return &backlogs{byClass: make(map[class]*backlog)} }

// enter adds a waiting request. It returns false, and adds nothing, if the
// request isn't expected to start before its deadline. A zero deadline means
// that there is none.
func (g *backlogs) enter(c class, now, deadline time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	b := g.byClass[c]
	if b == nil {
		b = &backlog{}
		g.byClass[c] = b
	}
	if b.wouldMiss(now, deadline) {
		return false
	}
	b.enter(now)
	return true
}

// leave removes a waiting request; started is whether it left to be started.
func (g *backlogs) leave(c class, now time.Time, started bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	b := g.byClass[c]
	if b.leave(now, started); b.waiting == 0 && b.starts > 0 {
		delete(g.byClass, c) // A stalled backlog is kept, so that its busy time isn't measured anew.
	}
}
