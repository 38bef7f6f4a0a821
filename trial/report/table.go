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
	longestWait = int64(10 * time.Minute / time.Microsecond)
	digits      = 3 // of a histogram's precision
)

// row is one kind of request.
type row struct {
	sent     int
	outcomes map[string]int
	reasons  map[string]int          // of all outcomes but done
	waits    *hdrhistogram.Histogram // in microseconds
}

// Table has a row for each kind: how many were sent, how they ended, and how
// long they waited. A wait runs from the sending of a request to the start of
// its first task on an endpoint, of the last one for a gang.
type Table struct {
	rows map[string]*row
}

// NewTable sums r up.
func NewTable(r *judge.Record) *Table {
	t := &Table{rows: make(map[string]*row)}
	first, last := starts(r)
	for i := range r.Calls {
		c := &r.Calls[i]
		x := t.row(c.Kind)
		x.sent++
		outcome := c.Outcome
		if outcome == "" {
			outcome = "none"
		}
		x.outcomes[outcome]++
		if outcome != "done" {
			x.reasons[outcome+" "+c.Reason]++
		}
		began, ok := first[c.Tag]
		if c.Kind == "gang" {
			began, ok = last[c.Tag]
		}
		if ok {
			_ = x.waits.RecordValue(max(began.Sub(c.Sent).Microseconds(), 0))
		}
	}
	return t
}

// starts returns when the first and the last task of each request began for
// the first time.
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

func (t *Table) row(kind string) *row {
	x := t.rows[kind]
	if x == nil {
		x = &row{outcomes: make(map[string]int), reasons: make(map[string]int), waits: hdrhistogram.New(1, longestWait, digits)}
		t.rows[kind] = x
	}
	return x
}

// Sent returns how many requests of a kind were sent, and how many of them
// ended with that outcome.
func (t *Table) Counts(kind, outcome string) (sent, ended int) {
	x := t.row(kind)
	return x.sent, x.outcomes[outcome]
}

// Print writes the table.
func (t *Table) Print(w io.Writer) {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(tw, "kind\tsent\tdone\tfailed\tnot run\tunknown\tno answer\tstarted\twait p50 ms\twait p99 ms\t")
	for _, kind := range []string{"quick", "service", "batch", "gang"} {
		x := t.row(kind)
		o := x.outcomes
		_, _ = fmt.Fprintf(tw, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t\n", kind, x.sent, o["done"], o["failed"], o["notrun"],
			o["unknown"], o["none"], x.waits.TotalCount(), milliseconds(x.waits.ValueAtQuantile(50)), milliseconds(x.waits.ValueAtQuantile(99)))
	}
	_ = tw.Flush()
	for _, kind := range []string{"quick", "service", "batch", "gang"} {
		for _, reason := range slices.Sorted(maps.Keys(t.row(kind).reasons)) {
			_, _ = fmt.Fprintf(w, "%s: %d %s\n", kind, t.row(kind).reasons[reason], reason)
		}
	}
}

func milliseconds(us int64) float64 { return float64(us) / 1000 }
