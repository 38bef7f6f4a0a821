package judge

import (
	"fmt"

	"github.com/balsamford/balsamford/coord/wire"
	"github.com/balsamford/balsamford/standin/engine"
)

// checkCapacity finds endpoints that were granted more than they have, or
// asked to take more than the grants that they know leave room for.
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
	told := make(map[string]bool)
	for _, x := range edges(runs) {
		name, needs := x.run.endpoint, counted(x.run.needs, capacity[x.run.endpoint])
		if !x.begin {
			granted[name] = granted[name].Sub(needs)
			continue
		}
		granted[name] = granted[name].Add(needs)
		if !granted[name].Fits(capacity[name]) && !told[name] {
			told[name] = true
			findings = append(findings, Finding{Capacity, name,
				fmt.Sprintf("%s#%d brings it to %+v of %+v", x.run.task, x.run.attempt, granted[name], capacity[name])})
		}
	}
	return findings
}

// counted returns the part of a task's needs that counts on an endpoint: an
// executor counts slots and connections, at least one each, a worker the
// rest.
func counted(n, capacity wire.Needs) wire.Needs {
	if capacity.Slots > 0 && capacity.CPU == 0 {
		return wire.Needs{Slots: max(n.Slots, 1), Conns: max(n.Conns, 1)}
	}
	return wire.Needs{CPU: n.CPU, Mem: n.Mem, Accel: n.Accel}
}
