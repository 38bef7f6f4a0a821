package judge

import (
	"fmt"
	"time"
)

// checkLimits finds teams that had more running than their upper limits. A
// lowered limit counts once it has to be in force.
func checkLimits(r *Record, runs []*run) []Finding {
	findings := make([]Finding, 0)
	running := make(map[string]int)
	told := make(map[string]bool)
	for _, x := range edges(runs) {
		team := x.run.team
		if !x.begin {
			running[team]--
			continue
		}
		running[team]++
		limit, ok := limitAt(r.Limits, team, x.at)
		if ok && running[team] > limit && !told[team] {
			told[team] = true
			findings = append(findings, Finding{Limited, team, fmt.Sprintf("%d tasks run, the limit is %d", running[team], limit)})
		}
	}
	return findings
}

// limitAt returns the largest limit that may be in force for team at a
// moment: the last that has to be in force, or a later one.
func limitAt(limits []Limit, team string, at time.Time) (int, bool) {
	most, ok := 0, false
	for _, l := range limits {
		if l.Team != team || l.From.After(at) {
			continue
		}
		if !ok || !l.From.Add(configTime).After(at) {
			most, ok = l.Tasks, true
			continue
		}
		most = max(most, l.Tasks)
	}
	return most, ok
}
