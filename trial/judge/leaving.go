package judge

import (
	"fmt"
	"time"

	"github.com/balsamford/balsamford/standin/engine"
)

// checkLeaving finds work that began at an endpoint too long after it began
// to leave.
func checkLeaving(r *Record) []Finding {
	since := make(map[string]time.Time)
	findings := make([]Finding, 0)
	for i := range r.Events {
		ev := &r.Events[i]
		switch ev.Event {
		case engine.Leave:
			delete(since, ev.Endpoint)
			if ev.Reason == "on" {
				since[ev.Endpoint] = ev.Time
			}
		case engine.Began:
			from, leaving := since[ev.Endpoint]
			if leaving && ev.Time.After(from.Add(leavingTime)) {
				findings = append(findings, Finding{Leaving, ev.Endpoint,
					fmt.Sprintf("%s#%d began %v after it began to leave", ev.Task, ev.Attempt, ev.Time.Sub(from))})
			}
		default:
		}
	}
	return findings
}
