package plan

import (
	"time"

	"github.com/balsamford/balsamford/coord/model"
)

// An operator evacuates a zone before it is shut down, or because it fails. Executors there get
// no new work. What runs there ends there, unless it would run for long and can go on elsewhere
// from a checkpoint, or is a lasting task whose step tolerates that one is missing (moves.go).

// SetEvacuated replaces the set of zones that are being evacuated. Executors there get no
// new work.
func (s *State) SetEvacuated(zones []string) {
	if s.evacuates(zones) {
		return
	}
	s.evacuated, s.moveRequests = make(map[string]bool, len(zones)), make(map[*stage]moveRequests)
	for _, z := range zones {
		s.evacuated[z] = true
	}
}

// evacuates reports whether exactly the given zones, each listed once, are being evacuated.
func (s *State) evacuates(zones []string) bool {
	if len(zones) != len(s.evacuated) {
		return false
	}
	for _, z := range zones {
		if !s.evacuated[z] {
			return false
		}
	}
	return true
}

// RunsInEvacuated returns the number of runs that may exist on executors in evacuated zones.
func (s *State) RunsInEvacuated() int {
	n := 0
	if len(s.evacuated) == 0 {
		return n
	}
	for _, e := range s.executors {
		if s.evacuated[e.info.Zone] {
			n += len(e.runs)
		}
	}
	return n
}

// waitsForZone reports whether the stage waits because of an evacuation: the executors that
// could hold it if they were idle are in evacuated zones.
func (s *State) waitsForZone(st *stage) bool {
	if len(s.evacuated) == 0 {
		return false
	}
	needed := 1
	if st.spec.Gang {
		needed = len(st.tasks)
	}
	elsewhere, inside := 0, 0
	for _, e := range s.executors {
		if e.info.Service != st.occur.job.queue.Service || e.info.Draining || st.spec.Label != "" && !e.info.Has(st.spec.Label) {
			continue
		}
		if t, answered := st.advice.ticketFor(e); answered && !t.allowed {
			continue
		}
		n := e.idleCapacityFor(st)
		if s.evacuated[e.info.Zone] {
			inside += n
			continue
		}
		if elsewhere += n; elsewhere >= needed {
			return false
		}
	}
	return elsewhere+inside >= needed
}

// moveCost returns how much longer the run's task takes if it is moved now: the stop, the
// restore, and what it may have to do again, if it isn't stopped in time to save its progress.
func (s *State) moveCost(r *run, now time.Time) time.Duration {
	since := r.startedAt
	if at := r.stage.savedAt(r.index); at.After(since) {
		since = at
	}
	return s.maxStopTime + maxRestoreTime + now.Sub(since)
}

// worthMoving reports whether the run would go on for well longer than a move takes.
func (s *State) worthMoving(r *run, now time.Time) bool {
	return r.remaining() > moveWorth*s.moveCost(r, now)
}

// movable reports whether the run can be stopped to start elsewhere: it is known to be at work
// and the only run of its task, and its task hasn't been moved a short while ago.
func (r *run) movable(now time.Time) bool {
	t := &r.stage.tasks[r.index]
	return r.state == active && r.seen && !r.unwanted && len(t.unwanted) == 0 && !t.done && !r.executor.silent &&
		!r.stage.occur.job.phase.Final() && !now.Before(t.nextMove())
}

// unavailable returns the number of tasks of a lasting stage that aren't at work: those without
// a run, with one that is stopping, in doubt or not in service, or on an executor that doesn't
// answer.
func (st *stage) unavailable() int {
	n := 0
	for i := range st.tasks {
		r := st.tasks[i].run
		if r == nil || r.state != active || !r.seen || r.percent < fullPercent || r.executor.silent {
			n++
		}
	}
	return n
}

const (
	// moveRequestPause is the time between two requests for moves of a step. It doubles with
	// each further one, up to maxMoveRequestDoublings times: tickets expire before a step
	// whose tasks find no room, and asking again for ever would keep the adviser busy.
	moveRequestPause        = time.Second
	maxMoveRequestDoublings = 6
)

// moveRequests is what is kept of the requests to the adviser for moves of a stage.
type moveRequests struct {
	count int
	next  time.Time // there is no other one before that
}

// requestForMove orders a request to the adviser, so that n running tasks of a stage may go to
// other executors of p.
func (s *State) requestForMove(st *stage, p *pool, n int, now time.Time) {
	q := &st.occur.job.queue
	long := q.Decide > longRequestTime
	if !st.advice.requestedAt.IsZero() || now.Before(st.advice.nextRequest) || !s.adviceSlotFree(long, now) {
		return
	}
	asked := s.moveRequests[st]
	if now.Before(asked.next) {
		return
	}
	names := st.executorsForMove(p, n, now)
	if len(names) == 0 {
		return
	}
	s.moveRequests[st] = moveRequests{count: asked.count + 1, next: now.Add(moveRequestPause << min(asked.count, maxMoveRequestDoublings))}
	st.advice.requestedAt = now
	estimate := q.Decide + time.Duration(len(names))*q.Each
	if long {
		s.longRequests++
	} else {
		s.shortRequestAt = now
	}
	s.pendingAdvice[st.id()] = pendingRequest{decision: s.decision, long: long, until: now.Add(estimate + lostRequestGrace)}
	s.orders.AdviceRequests = append(s.orders.AdviceRequests, AdviceRequest{Step: st.id(), Executors: names, EstimatedTime: estimate, decision: s.decision})
}

// executorsForMove returns the executors of p to ask the adviser about, so that n running tasks of
// the stage find enough that are allowed: some with capacity for a task, first those that are
// known to be allowed.
func (st *stage) executorsForMove(p *pool, n int, now time.Time) []string {
	var allowed, unasked []string
	perTask := st.spec.Room()
	if !st.spec.Gang && !p.mayFit(perTask) {
		return nil
	}
	for _, e := range p.executors {
		t, answered := st.advice.ticketFor(e)
		switch {
		case answered && !t.allowed || now.Before(t.nextRequest) || t.usable(now):
		case !perTask.Fits(e.free()) && (!st.spec.Gang || e.runsOf(st) == 0):
		case answered:
			allowed = append(allowed, e.info.ID)
		default:
			unasked = append(unasked, e.info.ID)
		}
	}
	var names []string
	expected, wanted := 0.0, requestSurplus*float64(n)
	for i, id := range append(allowed, unasked...) {
		if len(names) == maxExecutorsPerRequest || expected >= wanted {
			break
		}
		names = append(names, id)
		if i < len(allowed) {
			expected++
		} else {
			expected += expectedAllowedShare
		}
	}
	return names
}

// movesTo returns the number of tasks of the stage that are expected to start on an executor once
// their runs have ended.
func (s *State) movesTo(st *stage, e *executor) int {
	n := 0
	for _, m := range s.pendingMoves {
		if m.run.stage == st && m.target == e {
			n++
		}
	}
	return n
}

// roomForMove returns executors of p on which n tasks of a running stage could start if its runs
// were gone that are to move, and nil if there aren't enough. claims has what earlier moves need.
func (s *State) roomForMove(st *stage, p *pool, n int, claims map[*executor]model.Amount, now time.Time) []*executor {
	perTask, advised := st.spec.Room(), s.advised(st.occur.job, now)
	if !st.spec.Gang && !p.mayFit(perTask) {
		return nil
	}
	var out []*executor
	room := false
	for _, e := range p.executors {
		free, own := e.free().Sub(claims[e]), 0
		if st.spec.Gang || st.spec.Spread > 0 {
			own = e.runsOf(st)
		}
		if st.spec.Gang { // All of its runs are to be stopped.
			free = free.Add(model.Amount{CPU: perTask.CPU * int64(own), Memory: perTask.Memory * int64(own), Accel: perTask.Accel * int64(own)})
		}
		k := fitting(n-len(out), perTask, free)
		room = room || k > 0
		if st.spec.Spread > 0 {
			if st.spec.Gang {
				own = 0
			}
			k = min(k, st.spec.Spread-own-s.movesTo(st, e))
		}
		if advised && k > 0 {
			if _, ok := st.advice.validTicket(e, now); !ok {
				continue
			}
		}
		for range k {
			out = append(out, e)
		}
		if len(out) == n {
			return out
		}
	}
	if !room && !st.spec.Gang {
		p.noteUnfit(perTask)
	}
	return nil
}
