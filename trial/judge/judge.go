package judge

import (
	"sort"
	"strings"
	"time"
)

const (
	// leavingGrace is how long a leaving endpoint may still be sent new work.
	leavingGrace = 2 * time.Second
	// configGrace is how long an accepted configuration change may take to be
	// in force on all hosts.
	configGrace = 3 * time.Second
)

// Check returns all violations found in r, in the order of Invariants.
func Check(r *Record) []Finding {
	runs := pairRuns(r)
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

// requestOf returns the request ID of a task ID of the form REQUEST/NUMBER.
func requestOf(task string) string {
	i := strings.LastIndexByte(task, '/')
	if i < 0 {
		return task
	}
	return task[:i]
}
