package engine

import (
	"context"
	"sort"
	"time"

	"github.com/balsamford/balsamford/coord/point"
)

// View returns what the endpoint says of itself.
func (e *Endpoint) View(ctx context.Context) (point.View, error) {
	if err := e.enter(ctx, ""); err != nil {
		return point.View{}, err
	}
	if lost := e.leave(); lost != nil {
		return point.View{}, lost
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.viewLocked(e.timer.Boot()), nil
}

func (e *Endpoint) viewLocked(now time.Duration) point.View {
	v := point.View{
		Name: e.name, Kind: e.kind, Fence: e.fence, Zone: e.zone, Rack: e.rack,
		Owner: e.owner, Leaving: e.faults.leaves(), Capacity: e.capacity, Seq: e.seq,
		Tasks: make([]point.Task, 0, len(e.tasks)),
	}
	if !e.released && e.term > now {
		v.Left = e.term - now
	}
	for _, t := range e.tasks {
		v.Tasks = append(v.Tasks, t.message(now))
		v.Reported = v.Reported.Add(t.running(t.reported))
	}
	sortTasks(v.Tasks)
	return v
}

func sortTasks(tasks []point.Task) {
	sort.SliceStable(tasks, func(i, j int) bool { return tasks[i].Seq < tasks[j].Seq })
}
