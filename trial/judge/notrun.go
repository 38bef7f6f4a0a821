package judge

// checkNotRun finds requests that ran although their callers got the outcome
// "notrun".
func checkNotRun(r *Record, runs []*run) []Finding {
	runOf := make(map[string]*run)
	for _, x := range runs {
		runOf[x.tag] = x
	}
	findings := make([]Finding, 0)
	for i := range r.Calls {
		c := &r.Calls[i]
		if x := runOf[c.Tag]; c.Outcome == "notrun" && x != nil {
			findings = append(findings, Finding{NotRun, c.Tag, "told not run (" + c.Reason + "), but " + x.task + " ran on " + x.endpoint})
		}
	}
	return findings
}
