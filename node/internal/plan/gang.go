package plan

import (
	"maps"
	"slices"
	"time"
)

// sameRackWait is how long a gang waits for enough capacity on one rack before it is
// spread over several, where it runs more slowly.
const sameRackWait = 2 * time.Second

// placeGang starts all tasks of a gang or none.
func (s *State) placeGang(st *stage, p *pool, now time.Time) {
	n := len(st.tasks)
	for i := range st.tasks {
		if st.tasks[i].run != nil || len(st.tasks[i].unwanted) > 0 {
			return // A run of an earlier attempt may still exist.
		}
	}
	var selected []*executor
	if st.spec.SameRack {
		selected = s.selectRack(st, p, n, now)
	}
	if len(selected) < n && (!st.spec.SameRack || now.Sub(st.readySince) > sameRackWait) {
		selected = s.selectExecutors(st, p, n, now)
	}
	if len(selected) < n {
		if s.advised(st.occur.job, now) {
			s.requestAdvice(st, p, n, now)
		}
		return
	}
	number := st.nextNumber(0, s.runNumberBase)
	for i, e := range selected {
		s.start(st, i, number, e, now)
	}
}

// selectRack returns executors for n tasks on the first rack, by name, with capacity
// for all of them. It returns nil if there is none.
func (s *State) selectRack(st *stage, p *pool, n int, now time.Time) []*executor {
	if !p.mayFit(st.spec.Room()) {
		return nil
	}
	racks := p.racks()
	for _, name := range slices.Sorted(maps.Keys(racks)) {
		if selected := s.selectExecutors(st, racks[name], n, now); len(selected) == n {
			return selected
		}
	}
	return nil
}
