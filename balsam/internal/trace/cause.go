package trace

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// Cause says in one sentence why the job ended as it did, as far as the logs tell.
func (h *History) Cause() string {
	lines := h.Lines()
	if len(lines) == 0 {
		return "the logs say nothing of it"
	}
	end, ended := last(lines, "job ended")
	accepted, wasAccepted := first(lines, "accepted")
	switch {
	case ended:
		return h.endCause(lines, &end)
	case !wasAccepted:
		return refusalCause(lines)
	}
	text := "accepted at " + accepted.Host + ", and no end is recorded"
	if w, ok := last(lines, "step waits"); ok {
		return fmt.Sprintf("%s: step %d waits for %s", text, w.number("step"), w.word("reason"))
	}
	return text
}

// endCause explains a recorded end.
func (h *History) endCause(lines []Line, end *Line) string {
	switch end.word("phase") {
	case "cancelled":
		return "its team cancelled it"
	case "failed":
		return "failed: " + failures(lines)
	}
	after, objective := end.duration("after"), end.duration("objective")
	if objective == 0 || after <= objective {
		return fmt.Sprintf("done after %v", after.Round(time.Millisecond))
	}
	return fmt.Sprintf("done after %v, objective %v: %s", after.Round(time.Millisecond), objective.Round(time.Millisecond), h.delays(lines, end))
}

// delay is a cause of waiting.
type delay struct {
	time time.Duration
	text string
}

// least is the least delay that is told, in parts of the job's time.
const least = 10

// delays names what took a job's time beside its work, the longest first.
func (h *History) delays(lines []Line, end *Line) string {
	all := []delay{
		{end.duration("limit"), "for its team's limit"},
		{end.duration("room"), "for room on executors"},
		{end.duration("advice"), "for the placement adviser"},
		{h.withoutOwner(lines), "for an owner of the cell"},
	}
	slices.SortStableFunc(all, func(a, b delay) int { return cmp.Compare(b.time, a.time) })
	var out []string
	for _, d := range all {
		if d.time*least >= end.duration("after") {
			out = append(out, fmt.Sprintf("%v %s", d.time.Round(time.Millisecond), d.text))
		}
	}
	if n := count(lines, "run ended early"); n > 0 {
		out = append(out, fmt.Sprintf("%d runs that ended early", n))
	}
	if len(out) == 0 {
		return "the work itself took longer than estimated"
	}
	return "waited " + strings.Join(out, ", ")
}

// withoutOwner returns how long the cell had no owner while the job was there: from
// the last line of an epoch until the next one is taken.
func (h *History) withoutOwner(lines []Line) time.Duration {
	var sum time.Duration
	for _, l := range lines {
		if l.Text != "ownership taken" {
			continue
		}
		if before, ok := h.last[l.number("epoch")-1]; ok && l.Time.After(before) {
			sum += l.Time.Sub(before)
		}
	}
	return sum
}

// failures tells on which executors runs failed.
func failures(lines []Line) string {
	where := make(map[string]int)
	for _, l := range lines {
		if l.Text == "run ended early" && l.word("how") == "failed" {
			where[l.word("executor")]++
		}
	}
	names := slices.Sorted(maps.Keys(where))
	switch len(names) {
	case 0:
		return "the logs lack the runs that failed"
	case 1:
		return fmt.Sprintf("all failed runs were on executor %s, whose fault it may be", names[0])
	}
	return fmt.Sprintf("runs failed on %d executors (%s), so that the fault is the job's own", len(names), strings.Join(names, ", "))
}

// refusalCause explains why no host accepted the job.
func refusalCause(lines []Line) string {
	for _, l := range slices.Backward(lines) {
		switch l.Text {
		case "refused":
			return fmt.Sprintf("refused at %s: %s", l.Host, cmp.Or(l.word("reason"), l.word("error")))
		case "outcome unknown":
			return fmt.Sprintf("not known at %s whether it was stored: %s", l.Host, l.word("error"))
		case "job not understood":
			return fmt.Sprintf("not understood at %s: %s", l.Host, l.word("error"))
		}
	}
	return "the logs don't say that it was accepted"
}

func first(lines []Line, text string) (Line, bool) {
	i := slices.IndexFunc(lines, func(l Line) bool { return l.Text == text })
	if i < 0 {
		return Line{}, false
	}
	return lines[i], true
}

func last(lines []Line, text string) (Line, bool) {
	for _, l := range slices.Backward(lines) {
		if l.Text == text {
			return l, true
		}
	}
	return Line{}, false
}

func count(lines []Line, text string) int {
	n := 0
	for _, l := range lines {
		if l.Text == text {
			n++
		}
	}
	return n
}
