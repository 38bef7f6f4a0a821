package judge

import (
	"fmt"

	"github.com/balsamford/balsamford/coord/wire"
	"github.com/balsamford/balsamford/standin/engine"
)

// checkCapacity finds endpoints whose running tasks exceeded their capacity,
// and endpoints that rejected a start because it did not fit beside the tasks
// already granted.
func checkCapacity(r *Record, runs []*run) []Finding {
	capacity := make(map[string]wire.Needs)
	findings := make([]Finding, 0)
	for i := range r.Events {
		ev := &r.Events[i]
		if ev.Event == engine.Up {
			capacity[ev.Endpoint] = ev.Capacity
		}
		if ev.Event == engine.OverCapacity && ev.Reason == "granted" {
			findings = append(findings, Finding{Capacity, ev.Endpoint,
				fmt.Sprintf("%s#%d would take %+v of %+v", ev.Task, ev.Attempt, ev.Granted, ev.Capacity)})
		}
	}
	granted := make(map[string]wire.Needs)
	reported := make(map[string]bool)
	for _, x := range sortedEdges(runs) {
		name, needs := x.run.endpoint, countedNeeds(x.run.needs, capacity[x.run.endpoint])
		if !x.begin {
			granted[name] = granted[name].Sub(needs)
			continue
		}
		granted[name] = granted[name].Add(needs)
		if !granted[name].Fits(capacity[name]) && !reported[name] {
			reported[name] = true
			findings = append(findings, Finding{Capacity, name,
				fmt.Sprintf("%s#%d brings it to %+v of %+v", x.run.task, x.run.attempt, granted[name], capacity[name])})
		}
	}
	return findings
}

// countedNeeds returns the resources of a task that an endpoint accounts for:
// slots and connections, at least one of each, on an executor; processor,
// memory and accelerators on a worker.
func countedNeeds(n, capacity wire.Needs) wire.Needs {
	if capacity.Slots > 0 && capacity.CPU == 0 {
		return wire.Needs{Slots: max(n.Slots, 1), Conns: max(n.Conns, 1)}
	}
	return wire.Needs{CPU: n.CPU, Mem: n.Mem, Accel: n.Accel}
}
