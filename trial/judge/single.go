package judge

import "fmt"

// checkSingle finds tasks that ran in two places at once.
func checkSingle(runs []*run) []Finding {
	findings := make([]Finding, 0)
	last := make(map[string]*run) // by task, the run that ends last so far
	for _, x := range runs {
		before := last[x.task]
		if before != nil && x.from.Before(before.to) {
			findings = append(findings, Finding{Single, x.task,
				fmt.Sprintf("attempt %d began on %s %v before attempt %d ended on %s",
					x.attempt, x.endpoint, before.to.Sub(x.from), before.attempt, before.endpoint)})
		}
		if before == nil || x.to.After(before.to) {
			last[x.task] = x
		}
	}
	return findings
}
