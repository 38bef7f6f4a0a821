package judge

import (
	"fmt"
	"time"

	"github.com/balsamford/balsamford/standin/engine"
)

// checkLeaving finds tasks that started on an endpoint more than leavingGrace
// after it began to leave.
func checkLeaving(r *Record) []Finding {
	leavingSince := make(map[string]time.Time)
	findings := make([]Finding, 0)
	for i := range r.Events {
		ev := &r.Events[i]
		switch ev.Event {
		case engine.Leave:
			delete(leavingSince, ev.Endpoint)
			if ev.Reason == "on" {
				leavingSince[ev.Endpoint] = ev.Time
			}
		case engine.Began:
			from, leaving := leavingSince[ev.Endpoint]
			if leaving && ev.Time.After(from.Add(leavingGrace)) {
				findings = append(findings, Finding{Leaving, ev.Endpoint,
					fmt.Sprintf("%s#%d began %v after it began to leave", ev.Task, ev.Attempt, ev.Time.Sub(from))})
			}
		default:
		}
	}
	return findings
}
