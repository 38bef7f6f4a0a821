package plan

import (
	"time"

	"github.com/balsamford/balsamford/coord/model"
)

const (
	// aheadInterval is the least time between two searches for steps to ask about ahead.
	aheadInterval = 50 * time.Millisecond
	// aheadMargin is how long before the tasks may start the answer should be there.
	aheadMargin = 150 * time.Millisecond
	// maxAheadRequests bounds the requests of one search.
	maxAheadRequests = 4
	// maxAheadAttempts bounds the requests about a step before its tasks may start. Runs may take
	// much longer than estimated, and tickets expire meanwhile.
	maxAheadAttempts = 2
	// aheadIdleDivisor sets the slots that stay free for steps that are ready: one in
	// aheadIdleDivisor.
	aheadIdleDivisor = 4
)

// A job of several steps waits for the adviser before each of them, and a recurring job at each
// occurrence. While slots are idle, the adviser is asked shortly before the tasks may start, so that
// the tickets are there by then. If the tickets have expired, the answers still tell which executors
// are allowed.

// askAhead sends requests about steps whose tasks may start soon, as long as slots are idle.
func (s *State) askAhead(pools map[string]*pool, now time.Time) {
	if s.paused || now.Before(s.nextAskAhead) || !s.slotsToSpare() {
		return
	}
	s.nextAskAhead = now.Add(aheadInterval)
	sent := 0
	for _, j := range s.jobs {
		if j.phase.Final() || !s.advised(j, now) || j.inherited && s.unsettled(j.queue.Service, now) {
			continue
		}
		for _, st := range s.upcoming(j, now) {
			if sent == maxAheadRequests || !s.slotsToSpare() {
				return
			}
			if s.sendAhead(st, pools, now) {
				sent++
			}
		}
	}
}

// slotsToSpare reports whether more slots are idle than are kept for steps that become ready.
func (s *State) slotsToSpare() bool {
	return s.idleSlots() > s.adviceSlots/aheadIdleDivisor
}

// sendAhead sends a request about a stage whose tasks may start soon, and reports whether it did.
func (s *State) sendAhead(st *stage, pools map[string]*pool, now time.Time) bool {
	q := &st.occur.job.queue
	a := &st.advice
	wait := !a.requestedAt.IsZero() || now.Before(a.nextRequest) || now.Before(a.nextAhead) || a.aheadAttempts >= maxAheadAttempts
	if wait || st.hopeless(now) || !s.adviceSlotFree(q.Decide > longRequestTime, now) {
		return false
	}
	p := pools[q.Service]
	if p == nil {
		p = s.newPool(q.Service, now)
		p.supply = s.newSupply(p, nil)
		pools[q.Service] = p
	}
	p = p.withLabel(st.spec.Label)
	draft := s.draftRequest(st, p, st.waiting, false, now)
	if len(draft.executors) == 0 {
		draft = s.draftRequest(st, p, st.waiting, true, now)
	}
	a.nextAhead = now.Add(draftInterval)
	if len(draft.executors) == 0 {
		return false
	}
	a.aheadAttempts++
	s.sendRequest(st, draft, now)
	return true
}

// upcoming returns the stages of a job whose tasks may start soon and can't start yet.
func (s *State) upcoming(j *job, now time.Time) []*stage {
	var out []*stage
	soon := now.Add(j.queue.Decide + maxExecutorsPerRequest*j.queue.Each + aheadMargin)
	for _, o := range j.occurs {
		for _, st := range o.stages {
			if st.waiting > 0 && len(st.spec.After) > 0 && !o.ready(st) && !s.expectedReady(o, st, now).After(soon) {
				out = append(out, st)
			}
		}
	}
	if j.spec.Times == 0 || j.next >= j.spec.Occurrences() || j.spec.Due(j.next).After(soon) {
		return out
	}
	j.skipBegun()
	if j.next >= j.spec.Occurrences() || j.spec.Due(j.next).After(soon) {
		return out
	}
	if j.coming == nil || j.coming.number != j.next {
		j.coming = newOccurrence(j, j.next)
	}
	for _, st := range j.coming.stages {
		if len(st.spec.After) == 0 {
			out = append(out, st)
		}
	}
	return out
}

// distantFuture is later than any step is asked about ahead.
const distantFuture = 24 * time.Hour

// expectedReady returns when the steps that a stage depends on are expected to be done, by the
// estimates and the progress of their runs. While one of their tasks has no run, that isn't known.
func (s *State) expectedReady(o *occurrence, st *stage, now time.Time) time.Time {
	at := now
	for _, a := range st.spec.After {
		before := o.stages[a]
		if before.unfinished == 0 {
			continue
		}
		if before.waiting > 0 || before.spec.Lasting {
			return now.Add(distantFuture)
		}
		for i := range before.tasks {
			if r := before.tasks[i].run; r != nil && !before.tasks[i].done {
				if end := s.expectedEnd(r); end.After(at) {
					at = end
				}
			}
		}
	}
	return at
}

// expectedEnd returns when a run is expected to end.
func (s *State) expectedEnd(r *run) time.Time {
	whole := time.Duration(float64(r.stage.spec.Estimate) * s.slowdown(r.executor))
	if r.percent > 0 && r.progressedAt.After(r.startedAt) {
		return r.progressedAt.Add(whole * time.Duration(fullPercent-min(r.percent, fullPercent)) / fullPercent)
	}
	return r.startedAt.Add(whole)
}

// adviceStage returns the stage that a request is about, also if its occurrence hasn't begun, or
// nil.
func (s *State) adviceStage(id model.StepID) *stage {
	if j := s.jobs[id.Job]; j != nil && j.coming != nil && j.coming.number == id.Occur && j.occurs[id.Occur] == nil && id.Step < len(j.coming.stages) {
		return j.coming.stages[id.Step]
	}
	return s.stageOf(model.Task{Job: id.Job, Occur: id.Occur, Step: id.Step})
}
