package judge

import (
	"sort"
	"time"

	"github.com/balsamford/balsamford/coord/point"
	"github.com/balsamford/balsamford/coord/wire"
	"github.com/balsamford/balsamford/standin/engine"
)

// run is the execution of one attempt of a task on one endpoint.
type run struct {
	endpoint string
	task     string
	attempt  uint32
	tag      string
	team     string
	once     bool
	needs    wire.Needs
	from     time.Time
	to       time.Time // Record.End if it was still running
	state    point.State
}

// attemptKey identifies a run.
type attemptKey struct {
	endpoint string
	task     string
	attempt  uint32
}

// pairRuns matches the start and end events of the endpoints' logs and returns
// the runs sorted by start time.
func pairRuns(r *Record) []*run {
	open := make(map[attemptKey]*run)
	runs := make([]*run, 0)
	for i := range r.Events {
		ev := &r.Events[i]
		key := attemptKey{ev.Endpoint, ev.Task, ev.Attempt}
		switch ev.Event {
		case engine.Began:
			started := &run{endpoint: ev.Endpoint, task: ev.Task, attempt: ev.Attempt, tag: ev.Tag, team: ev.Team,
				once: ev.Once, needs: ev.Needs, from: ev.Time, to: r.End, state: point.Running}
			open[key] = started
			runs = append(runs, started)
		case engine.Ended, engine.Lapse:
			if started := open[key]; started != nil {
				started.to, started.state = ev.Time, ev.State
				delete(open, key)
			}
		default:
		}
	}
	sort.SliceStable(runs, func(i, j int) bool { return runs[i].from.Before(runs[j].from) })
	return runs
}

// edge is the start or the end of a run.
type edge struct {
	at    time.Time
	begin bool
	run   *run
}

// sortedEdges returns the starts and ends of runs in time order. At equal times
// ends precede starts.
func sortedEdges(runs []*run) []edge {
	all := make([]edge, 0, len(runs)*2)
	for _, x := range runs {
		all = append(all, edge{at: x.from, begin: true, run: x}, edge{at: x.to, run: x})
	}
	sort.SliceStable(all, func(i, j int) bool {
		if all[i].at.Equal(all[j].at) {
			return !all[i].begin && all[j].begin
		}
		return all[i].at.Before(all[j].at)
	})
	return all
}
