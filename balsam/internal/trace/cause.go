package trace

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// Cause returns one sentence on why the job ended, as far as the logs show it. For a job
// without a recorded end it says what the job waits for, or why no host accepted it.
func (h *History) Cause() string {
	lines := h.Lines()
	if len(lines) == 0 {
		return "the logs say nothing of it"
	}
	end, ended := lastLine(lines, "job ended")
	accepted, wasAccepted := firstLine(lines, "accepted")
	switch {
	case ended:
		return h.endCause(lines, &end)
	case !wasAccepted:
		return refusalCause(lines)
	}
	text := "accepted at " + accepted.Host + ", and no end is recorded"
	if w, ok := lastLine(lines, "step waits"); ok {
		return fmt.Sprintf("%s: step %d waits for %s", text, w.intField("step"), w.stringField("reason"))
	}
	return text
}

// endCause explains an end that was logged. Waiting times are given only for a job that
// exceeded its objective.
func (h *History) endCause(lines []Line, end *Line) string {
	switch end.stringField("phase") {
	case "cancelled":
		return "its team cancelled it"
	case "failed":
		return "failed: " + failureCause(lines)
	}
	after, objective := end.durationField("after"), end.durationField("objective")
	if objective == 0 || after <= objective {
		return fmt.Sprintf("done after %v", after.Round(time.Millisecond))
	}
	return fmt.Sprintf("done after %v, objective %v: %s", after.Round(time.Millisecond), objective.Round(time.Millisecond), h.describeDelays(lines, end))
}

// delay is the time that a job spent waiting for one cause.
type delay struct {
	time time.Duration
	text string // continues "waited <time>"
}

// minDelayDivisor hides short delays: a delay is reported if it is at least
// 1/minDelayDivisor of the job's total time.
const minDelayDivisor = 10

// describeDelays lists what the job waited for, the longest delay first, followed by the
// number of runs that ended early.
func (h *History) describeDelays(lines []Line, end *Line) string {
	all := []delay{
		{end.durationField("limit"), "for its team's limit"},
		{end.durationField("room"), "for room on executors"},
		{end.durationField("advice"), "for the placement adviser"},
		{h.timeWithoutOwner(lines), "for an owner of the cell"},
	}
	slices.SortStableFunc(all, func(a, b delay) int { return cmp.Compare(b.time, a.time) })
	var out []string
	for _, d := range all {
		if d.time*minDelayDivisor >= end.durationField("after") {
			out = append(out, fmt.Sprintf("%v %s", d.time.Round(time.Millisecond), d.text))
		}
	}
	if n := countLines(lines, "run ended early"); n > 0 {
		out = append(out, fmt.Sprintf("%d runs that ended early", n))
	}
	if len(out) == 0 {
		return "the work itself took longer than estimated"
	}
	return "waited " + strings.Join(out, ", ")
}

// timeWithoutOwner returns how long the cell had no owner during the job. Each gap lasts
// from the last log line of an epoch until ownership is taken with the next epoch.
func (h *History) timeWithoutOwner(lines []Line) time.Duration {
	var sum time.Duration
	for _, l := range lines {
		if l.Text != "ownership taken" {
			continue
		}
		if before, ok := h.lastByEpoch[l.intField("epoch")-1]; ok && l.Time.After(before) {
			sum += l.Time.Sub(before)
		}
	}
	return sum
}

// failureCause names the executors on which runs failed. Failures on a single executor
// point to the executor, failures on several to the job.
func failureCause(lines []Line) string {
	failedRuns := make(map[string]int)
	for _, l := range lines {
		if l.Text == "run ended early" && l.stringField("how") == "failed" {
			failedRuns[l.stringField("executor")]++
		}
	}
	names := slices.Sorted(maps.Keys(failedRuns))
	switch len(names) {
	case 0:
		return "the logs lack the runs that failed"
	case 1:
		return fmt.Sprintf("all failed runs were on executor %s, whose fault it may be", names[0])
	}
	return fmt.Sprintf("runs failed on %d executors (%s), so that the fault is the job's own", len(names), strings.Join(names, ", "))
}

// refusalCause explains why no host accepted the job, by the latest line that says so.
func refusalCause(lines []Line) string {
	for _, l := range slices.Backward(lines) {
		switch l.Text {
		case "refused":
			return fmt.Sprintf("refused at %s: %s", l.Host, cmp.Or(l.stringField("reason"), l.stringField("error")))
		case "outcome unknown":
			return fmt.Sprintf("not known at %s whether it was stored: %s", l.Host, l.stringField("error"))
		case "job not understood":
			return fmt.Sprintf("not understood at %s: %s", l.Host, l.stringField("error"))
		}
	}
	return "the logs don't say that it was accepted"
}

func firstLine(lines []Line, text string) (Line, bool) {
	i := slices.IndexFunc(lines, func(l Line) bool { return l.Text == text })
	if i < 0 {
		return Line{}, false
	}
	return lines[i], true
}

func lastLine(lines []Line, text string) (Line, bool) {
	for _, l := range slices.Backward(lines) {
		if l.Text == text {
			return l, true
		}
	}
	return Line{}, false
}

func countLines(lines []Line, text string) int {
	n := 0
	for _, l := range lines {
		if l.Text == text {
			n++
		}
	}
	return n
}
