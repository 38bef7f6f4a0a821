package report

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/balsamford/balsamford/standin/engine"
	"github.com/balsamford/balsamford/trial/judge"
)

const (
	maxWaitMicros     = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3 // precision of the histograms
)

// summary holds the counts and waiting times of the requests of one kind.
type summary struct {
	sent     int
	outcomes map[string]int
	reasons  map[string]int          // of all outcomes except done
	waits    *hdrhistogram.Histogram // in microseconds
}

// Table has a row for each request kind, with the number sent, the outcomes and
// the waiting times. The waiting time of a request ends when its first task
// starts on an endpoint; that of a gang ends when its last task starts.
type Table struct {
	summaries map[string]*summary
}

// NewTable returns the table of the requests in r.
func NewTable(r *judge.Record) *Table {
	t := &Table{summaries: make(map[string]*summary)}
	first, last := starts(r)
	for i := range r.Calls {
		c := &r.Calls[i]
		sum := t.summary(c.Kind)
		sum.sent++
		outcome := c.Outcome
		if outcome == "" {
			outcome = "none"
		}
		sum.outcomes[outcome]++
		if outcome != "done" {
			sum.reasons[outcome+" "+c.Reason]++
		}
		began, ok := first[c.Tag]
		if c.Kind == "gang" {
			began, ok = last[c.Tag]
		}
		if ok {
			_ = sum.waits.RecordValue(max(began.Sub(c.Sent).Microseconds(), 0))
		}
	}
	return t
}

// starts returns, by request tag, when the first and the last task of the
// request started. Only the first start of each task counts, not restarts.
func starts(r *judge.Record) (first, last map[string]time.Time) {
	first, last = make(map[string]time.Time), make(map[string]time.Time)
	seen := make(map[string]bool)
	for i := range r.Events {
		ev := &r.Events[i]
		if ev.Event != engine.Began || seen[ev.Task] {
			continue
		}
		seen[ev.Task] = true
		if at, ok := first[ev.Tag]; !ok || ev.Time.Before(at) {
			first[ev.Tag] = ev.Time
		}
		if ev.Time.After(last[ev.Tag]) {
			last[ev.Tag] = ev.Time
		}
	}
	return first, last
}

func (t *Table) summary(kind string) *summary {
	sum := t.summaries[kind]
	if sum == nil {
		sum = &summary{outcomes: make(map[string]int), reasons: make(map[string]int), waits: hdrhistogram.New(1, maxWaitMicros, significantDigits)}
		t.summaries[kind] = sum
	}
	return sum
}

// Counts returns how many requests of a kind were sent, and how many of them
// ended with outcome.
func (t *Table) Counts(kind, outcome string) (sent, ended int) {
	sum := t.summary(kind)
	return sum.sent, sum.outcomes[outcome]
}

// Print writes the table to w, followed by the counts of each reason for an
// outcome other than done.
func (t *Table) Print(w io.Writer) {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(tw, "kind\tsent\tdone\tfailed\tnot run\tunknown\tno answer\tstarted\twait p50 ms\twait p99 ms\t")
	for _, kind := range []string{"quick", "service", "batch", "gang"} {
		sum := t.summary(kind)
		outcomes := sum.outcomes
		_, _ = fmt.Fprintf(tw, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t\n", kind, sum.sent, outcomes["done"], outcomes["failed"], outcomes["notrun"],
			outcomes["unknown"], outcomes["none"], sum.waits.TotalCount(), milliseconds(sum.waits.ValueAtQuantile(50)), milliseconds(sum.waits.ValueAtQuantile(99)))
	}
	_ = tw.Flush()
	for _, kind := range []string{"quick", "service", "batch", "gang"} {
		for _, reason := range slices.Sorted(maps.Keys(t.summary(kind).reasons)) {
			_, _ = fmt.Fprintf(w, "%s: %d %s\n", kind, t.summary(kind).reasons[reason], reason)
		}
	}
}

func milliseconds(us int64) float64 { return float64(us) / 1000 }
