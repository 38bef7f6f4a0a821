package engine

import (
	"context"
	"sort"
	"time"

	"github.com/balsamford/balsamford/coord/point"
)

// View returns the endpoint's description, owner and tasks. Any caller may
// read it.
func (e *Endpoint) View(ctx context.Context) (point.View, error) {
	if err := e.beforeCall(ctx, ""); err != nil {
		return point.View{}, err
	}
	if lost := e.afterCall(); lost != nil {
		return point.View{}, lost
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.viewLocked(e.timer.Boot()), nil
}

func (e *Endpoint) viewLocked(now time.Duration) point.View {
	v := point.View{
		Name: e.name, Kind: e.kind, Fence: e.fence, Zone: e.zone, Rack: e.rack,
		Owner: e.owner, Leaving: e.faults.refusesStarts(), Capacity: e.capacity, Seq: e.seq,
		Tasks: make([]point.Task, 0, len(e.tasks)),
	}
	if !e.released && e.termEnd > now {
		v.Left = e.termEnd - now
	}
	for _, t := range e.tasks {
		v.Tasks = append(v.Tasks, t.report(now))
		v.Reported = v.Reported.Add(t.ifRunning(t.reported))
	}
	sortTasks(v.Tasks)
	return v
}

func sortTasks(tasks []point.Task) {
	sort.SliceStable(tasks, func(i, j int) bool { return tasks[i].Seq < tasks[j].Seq })
}
