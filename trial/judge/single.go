package judge

import "fmt"

// checkSingle finds tasks with two runs that overlap in time.
func checkSingle(runs []*run) []Finding {
	findings := make([]Finding, 0)
	latest := make(map[string]*run) // by task ID: the run with the latest end so far
	for _, x := range runs {
		previous := latest[x.task]
		if previous != nil && x.from.Before(previous.to) {
			findings = append(findings, Finding{Single, x.task,
				fmt.Sprintf("attempt %d began on %s %v before attempt %d ended on %s",
					x.attempt, x.endpoint, previous.to.Sub(x.from), previous.attempt, previous.endpoint)})
		}
		if previous == nil || x.to.After(previous.to) {
			latest[x.task] = x
		}
	}
	return findings
}
