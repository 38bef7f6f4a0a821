package judge

import (
	"sort"
	"strings"
	"time"
)

const (
	// leavingTime is how soon a leaving endpoint gets no new work any more.
	leavingTime = 2 * time.Second
	// configTime is how soon an accepted change is in force everywhere.
	configTime = 3 * time.Second
)

// Check returns every broken promise that r shows, in the order of the
// promises.
func Check(r *Record) []Finding {
	runs := collect(r)
	checks := []func() []Finding{
		func() []Finding { return checkCapacity(r, runs) },
		func() []Finding { return checkSingle(runs) },
		func() []Finding { return checkKeys(r, runs) },
		func() []Finding { return checkLimits(r, runs) },
		func() []Finding { return checkAnswers(r, runs) },
		func() []Finding { return checkNotRun(r, runs) },
		func() []Finding { return checkOnce(r, runs) },
		func() []Finding { return checkLeaving(r) },
		func() []Finding { return checkStops(r) },
		func() []Finding { return checkConfig(r) },
	}
	findings := make([]Finding, 0)
	for _, check := range checks {
		found := check()
		sort.Slice(found, func(i, j int) bool { return found[i].String() < found[j].String() })
		findings = append(findings, found...)
	}
	return findings
}

// requestOf returns the request id of a task id.
func requestOf(task string) string {
	i := strings.LastIndexByte(task, '/')
	if i < 0 {
		return task
	}
	return task[:i]
}
