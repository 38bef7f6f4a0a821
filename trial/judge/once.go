package judge

import "fmt"

// checkOnce finds tasks of non-idempotent requests that began more than once.
func checkOnce(r *Record, runs []*run) []Finding {
	once := make(map[string]bool)
	for i := range r.Calls {
		once[r.Calls[i].Tag] = r.Calls[i].Once
	}
	times := make(map[string]int)
	for _, x := range runs {
		if x.once || once[x.tag] {
			times[x.task]++
		}
	}
	findings := make([]Finding, 0)
	for task, n := range times {
		if n > 1 {
			findings = append(findings, Finding{Once, task, fmt.Sprintf("began %d times", n)})
		}
	}
	return findings
}
