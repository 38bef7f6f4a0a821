package bench

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

// Print writes a table with one line per result.
func Print(w io.Writer, results []*Result) error {
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "load\tengine\tquick\turgent\tbatch\tgang\tservice\tbusy\ttaken\thot\twork\toff mean\toff p95\tdecide p50\tp99\tmax\tstarts\tleft\tpreempts\tfailed\twave\tover\ttwice\tsplit")
	for _, r := range results {
		_, _ = fmt.Fprintf(t, "%s\t%s", r.Load, r.Engine)
		for _, kind := range []string{"quick", "urgent", "batch", "gang", "service"} {
			_, _ = fmt.Fprintf(t, "\t%s/%s", formatDuration(r.Wait(kind, 50)), formatDuration(r.Wait(kind, 99)))
		}
		off := mean{}
		for _, x := range r.shareErrors {
			off.add(x)
		}
		_, _ = fmt.Fprintf(t, "\t%.3f\t%.3f\t%.3f\t%.0f\t%.4f\t%.4f", r.reserved.value(), r.taken.value(), r.overloaded.value(), r.work, off.value(), quantile(r.shareErrors, tailQuantile))
		_, _ = fmt.Fprintf(t, "\t%s\t%s\t%s", formatDuration(r.Decide(50)), formatDuration(r.Decide(99)), formatDuration(r.Decide(100)))
		_, _ = fmt.Fprintf(t, "\t%d\t%d\t%d\t%d\t%s\t%d\t%d\t%d\n", r.starts, r.waitingAtEnd, r.preempts, r.failed, formatDuration(r.waveCancelTime), r.overcommitted, r.startedTwice, r.gangsSplit)
	}
	return t.Flush()
}

// formatDuration formats a duration with about three significant digits.
func formatDuration(d time.Duration) string {
	switch {
	case d >= time.Minute:
		return d.Round(time.Second).String()
	case d >= time.Second:
		return d.Round(10 * time.Millisecond).String()
	case d >= time.Millisecond:
		return d.Round(10 * time.Microsecond).String()
	}
	return d.Round(10 * time.Nanosecond).String()
}
