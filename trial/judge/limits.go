package judge

import (
	"fmt"
	"time"
)

// checkLimits finds teams that ran more tasks at once than their upper limits.
// A lowered limit is enforced from configGrace after it was accepted.
func checkLimits(r *Record, runs []*run) []Finding {
	findings := make([]Finding, 0)
	running := make(map[string]int)
	reported := make(map[string]bool)
	for _, x := range sortedEdges(runs) {
		team := x.run.team
		if !x.begin {
			running[team]--
			continue
		}
		running[team]++
		limit, ok := limitAt(r.Limits, team, x.at)
		if ok && running[team] > limit && !reported[team] {
			reported[team] = true
			findings = append(findings, Finding{Limited, team, fmt.Sprintf("%d tasks run, the limit is %d", running[team], limit)})
		}
	}
	return findings
}

// limitAt returns the highest limit that may be in force for a team at a time,
// and false if the team has none. Candidates are the latest limit that was
// accepted at least configGrace earlier, and all that were accepted after it.
func limitAt(limits []Limit, team string, at time.Time) (int, bool) {
	highest, ok := 0, false
	for _, l := range limits {
		if l.Team != team || l.From.After(at) {
			continue
		}
		if !ok || !l.From.Add(configGrace).After(at) {
			highest, ok = l.Tasks, true
			continue
		}
		highest = max(highest, l.Tasks)
	}
	return highest, ok
}
