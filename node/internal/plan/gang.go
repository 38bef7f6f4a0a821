package plan

import (
	"cmp"
	"slices"
	"time"
)

// rackPatience is how long a gang waits for room on one rack before it is
// placed over several, where it works more slowly.
const rackPatience = 2 * time.Second

// placeGang starts all tasks of a gang or none.
func (s *State) placeGang(st *stage, workers []*worker, now time.Time) {
	n := len(st.tasks)
	for i := range st.tasks {
		if st.tasks[i].run != nil || len(st.tasks[i].spares) > 0 {
			return // An earlier run isn't gone yet.
		}
	}
	var spots []*worker
	if st.spec.SameRack {
		spots = s.oneRack(st, workers, n, now)
	}
	if len(spots) < n && (!st.spec.SameRack || now.Sub(st.since) > rackPatience) {
		spots = s.spots(st, workers, n, now)
	}
	if len(spots) < n {
		if st.occur.job.queue.Advised {
			s.ask(st, workers, now)
		}
		return
	}
	number := st.number(0, s.base)
	for i, w := range spots {
		s.start(st, i, number, w, now)
	}
}

// oneRack returns executors for n tasks on the rack that fits best, or nil.
func (s *State) oneRack(st *stage, workers []*worker, n int, now time.Time) []*worker {
	racks := make(map[string][]*worker)
	for _, w := range workers {
		racks[w.info.Rack] = append(racks[w.info.Rack], w)
	}
	names := make([]string, 0, len(racks))
	for name := range racks {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int { return cmp.Compare(a, b) })
	for _, name := range names {
		if spots := s.spots(st, racks[name], n, now); len(spots) == n {
			return spots
		}
	}
	return nil
}
