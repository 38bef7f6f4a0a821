package plan

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/balsamford/balsamford/coord/model"
)

const (
	// maxRestoreTime is how long a run takes at most to resume from a checkpoint.
	maxRestoreTime = stallAfter / 2
	// moveWorth times its cost is the remaining time from which a move is worth it.
	moveWorth = 2
	// maxMovesPerSweep bounds the runs that one sweep moves, and maxPendingMoves those that
	// have been ordered to stop and haven't ended. A zone that is evacuated by mistake, or
	// for a moment, then loses few, and no burst of ends and starts holds up other work. A
	// gang that is larger is moved alone.
	maxMovesPerSweep = 4
	maxPendingMoves  = 16
	// maxFailedMoves bounds the steps for which one sweep finds no executor. The next sweep
	// goes on with the others, so that a zone with hundreds of steps doesn't hold up decisions.
	maxFailedMoves = 64
)

// pendingMove is a run that has been ordered to stop, and the executor that had capacity for its
// task then.
type pendingMove struct {
	run    *run
	target *executor
}

// moveCandidate is a run in an evacuated zone that may be moved.
type moveCandidate struct {
	run       *run
	remaining time.Duration
}

// moveSweep moves runs out of evacuated zones during one decision.
type moveSweep struct {
	state   *State
	now     time.Time
	pools   map[string]*pool // by service
	atLimit map[string]bool  // teams with tasks that wait for the team's limit
	claims  map[*executor]model.Amount
	skipped map[*stage]bool // nothing more of them moves
	budget  map[*stage]int  // of lasting stages, tasks that may still be stopped
	moved   int
	failed  int // stages for which no executor was found
}

// moveRuns stops runs in evacuated zones whose tasks can go on elsewhere now, if no other task
// waits for capacity. waiting has the stages that this decision has tried to place.
func (s *State) moveRuns(waiting []waitingStage, pools map[string]*pool, now time.Time) {
	s.pendingMoves = slices.DeleteFunc(s.pendingMoves, func(m pendingMove) bool {
		return m.run.state != stopping || m.run.executor.runs[m.run.key()] != m.run
	})
	if s.paused || len(s.evacuated) == 0 || len(s.pendingMoves) >= maxPendingMoves {
		return
	}
	m := &moveSweep{
		state: s, now: now, pools: pools, atLimit: make(map[string]bool), claims: make(map[*executor]model.Amount),
		skipped: make(map[*stage]bool), budget: make(map[*stage]int),
	}
	if !m.nothingWaits(waiting) {
		return
	}
	for _, p := range s.pendingMoves {
		m.claims[p.target] = m.claims[p.target].Add(p.run.stage.spec.Room())
	}
	candidates := m.candidates()
	first := s.nextMove
	s.nextMove = 0
	for i := range candidates {
		if m.moved >= maxMovesPerSweep || len(s.pendingMoves) >= maxPendingMoves {
			return
		}
		at := (first + i) % len(candidates)
		if m.failed == maxFailedMoves {
			s.nextMove = at
			return
		}
		c := candidates[at]
		st := c.run.stage
		switch {
		case m.skipped[st]:
		case st.spec.Gang:
			m.skipped[st] = true
			m.moveGang(st)
		default:
			m.moveTask(c.run)
		}
	}
}

// nothingWaits reports whether no task waits that could use capacity outside of the evacuated
// zones. A task that waits for its team's limit can't, but it could take the place under the
// limit of a moved run of the same team.
func (m *moveSweep) nothingWaits(waiting []waitingStage) bool {
	for _, c := range waiting {
		st := c.stage
		switch {
		case st.waiting == 0 || m.state.waitsForZone(st):
		case st.blockCause == blockedByLimit && (st.spec.Gang || m.state.headroom(st, m.now) == 0 || m.state.recordableRuns(st) == 0):
			m.atLimit[st.occur.job.spec.Team] = true
		default:
			return false
		}
	}
	return true
}

// candidates returns the runs that may be moved: lasting tasks, and runs with checkpoints that
// would go on for long. Those that would go on for longest come first.
func (m *moveSweep) candidates() []moveCandidate {
	s := m.state
	var out []moveCandidate
	unsettled := make(map[string]bool)
	for _, e := range s.executors {
		if !s.evacuated[e.info.Zone] || e.info.Service == "" {
			continue
		}
		if _, ok := unsettled[e.info.Service]; !ok {
			unsettled[e.info.Service] = s.unsettled(e.info.Service, m.now)
		}
		if unsettled[e.info.Service] {
			continue // Tasks wait until all runs are known.
		}
		for _, r := range e.runs {
			spec := r.stage.spec
			switch {
			case !r.movable(m.now) || m.atLimit[r.stage.occur.job.spec.Team] || !s.withinLimit(r.stage, m.now):
			case spec.Lasting && spec.Tolerate > 0:
				out = append(out, moveCandidate{run: r, remaining: math.MaxInt64})
			case !spec.Lasting && spec.Checkpoints && s.worthMoving(r, m.now):
				out = append(out, moveCandidate{run: r, remaining: r.remaining()})
			}
		}
	}
	slices.SortFunc(out, func(a, b moveCandidate) int {
		return cmp.Or(cmp.Compare(b.remaining, a.remaining), cmp.Compare(a.run.stage.occur.job.spec.ID, b.run.stage.occur.job.spec.ID),
			a.run.stage.occur.number-b.run.stage.occur.number, a.run.stage.index-b.run.stage.index, a.run.index-b.run.index)
	})
	return out
}

// moveTask moves one task, if it can start elsewhere now.
func (m *moveSweep) moveTask(r *run) {
	st := r.stage
	if st.spec.Lasting {
		left, ok := m.budget[st]
		if !ok {
			left = st.spec.Tolerate - st.unavailable()
		}
		m.budget[st] = left
		if left <= 0 {
			m.skipped[st] = true
			return
		}
	}
	p := m.pool(st)
	targets := m.state.roomForMove(st, p, 1, m.claims, m.now)
	if targets == nil {
		m.skipped[st] = true
		m.fail(st, p, 1)
		return
	}
	m.budget[st]--
	m.move(r, targets[0])
}

// moveGang moves all tasks of a gang, if they can start elsewhere now.
func (m *moveSweep) moveGang(st *stage) {
	n := len(st.tasks)
	if m.moved > 0 && m.moved+n > maxMovesPerSweep || st.spec.Lasting && st.unavailable()+n > st.spec.Tolerate {
		return
	}
	for i := range st.tasks {
		r := st.tasks[i].run
		if r == nil || !r.movable(m.now) || !st.spec.Lasting && !m.state.worthMoving(r, m.now) {
			return
		}
	}
	p := m.pool(st)
	var targets []*executor
	if st.spec.SameRack {
		for _, rack := range p.racks() {
			if targets = m.state.roomForMove(st, rack, n, m.claims, m.now); targets != nil {
				break
			}
		}
	} else {
		targets = m.state.roomForMove(st, p, n, m.claims, m.now)
	}
	if targets == nil {
		m.fail(st, p, n)
		return
	}
	for i := range st.tasks {
		m.move(st.tasks[i].run, targets[i])
	}
}

// fail notes that there is no executor for n tasks of a stage. It asks the adviser for tickets, if
// they need any.
func (m *moveSweep) fail(st *stage, p *pool, n int) {
	m.failed++
	if m.state.advised(st.occur.job, m.now) {
		m.state.requestForMove(st, p, n, m.now)
	}
}

// pool returns the executors that may run the stage.
func (m *moveSweep) pool(st *stage) *pool {
	service := st.occur.job.queue.Service
	if m.pools[service] == nil {
		m.pools[service] = m.state.newPool(service, m.now)
	}
	return m.pools[service].withLabel(st.spec.Label)
}

// move orders a run to stop. Its task starts again once the end is reported.
func (m *moveSweep) move(r *run, target *executor) {
	s := m.state
	t := &r.stage.tasks[r.index]
	h := t.keepHistory()
	h.moves, h.movedAt = h.moves+1, m.now
	s.stopRun(r, m.now)
	s.pendingMoves = append(s.pendingMoves, pendingMove{run: r, target: target})
	m.claims[target] = m.claims[target].Add(r.stage.spec.Room())
	m.moved++
	s.orders.Moves = append(s.orders.Moves, Move{
		Stop: Stop{Task: r.stage.taskID(r.index), Number: r.number, Executor: r.executor.info.ID}, Zone: r.executor.info.Zone,
	})
}
