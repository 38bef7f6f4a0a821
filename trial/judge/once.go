package judge

import "fmt"

// checkOnce finds tasks of non-idempotent requests that started more than once.
func checkOnce(r *Record, runs []*run) []Finding {
	nonIdempotent := make(map[string]bool)
	for i := range r.Calls {
		nonIdempotent[r.Calls[i].Tag] = r.Calls[i].Once
	}
	starts := make(map[string]int)
	for _, x := range runs {
		if x.once || nonIdempotent[x.tag] {
			starts[x.task]++
		}
	}
	findings := make([]Finding, 0)
	for task, n := range starts {
		if n > 1 {
			findings = append(findings, Finding{Once, task, fmt.Sprintf("began %d times", n)})
		}
	}
	return findings
}
