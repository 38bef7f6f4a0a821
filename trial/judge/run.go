package judge

import (
	"sort"
	"time"

	"github.com/balsamford/balsamford/coord/point"
	"github.com/balsamford/balsamford/coord/wire"
	"github.com/balsamford/balsamford/standin/engine"
)

// run is one run of one attempt of a task on one endpoint.
type run struct {
	endpoint string
	task     string
	attempt  uint32
	tag      string
	team     string
	once     bool
	needs    wire.Needs
	from     time.Time
	to       time.Time // the record's end if it still ran then
	state    point.State
}

// runKey tells runs apart.
type runKey struct {
	endpoint string
	task     string
	attempt  uint32
}

// collect pairs the starts and ends of the endpoints' logs. The runs are
// sorted by their starts.
func collect(r *Record) []*run {
	open := make(map[runKey]*run)
	runs := make([]*run, 0)
	for i := range r.Events {
		ev := &r.Events[i]
		key := runKey{ev.Endpoint, ev.Task, ev.Attempt}
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

// edge is the moment at which a run begins or ends.
type edge struct {
	at    time.Time
	begin bool
	run   *run
}

// edges returns the beginnings and ends of runs in their order; at the same
// moment ends come first.
func edges(runs []*run) []edge {
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
