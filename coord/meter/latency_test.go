package meter

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"
)

// TestLatency checks that values recorded from several goroutines are all counted,
// that percentiles are microseconds within the histogram's precision, and that
// values out of range are recorded as its limits.
func TestLatency(t *testing.T) {
	is := is.New(t)
	r := metrics.NewRegistry()
	l := NewLatency("x", r)
	var g errgroup.Group
	for range 4 {
		g.Go(func() error {
			for i := range 1000 {
				l.Note(time.Duration(i+1) * time.Millisecond)
			}
			return nil
		})
	}
	is.NoErr(g.Wait())
	is.Equal(l.Count(), int64(4000))
	h := NewLatency("x", r).Snapshot() // Returns the registered Latency, which is l.
	for p, want := range map[float64]float64{0.5: 500e3, 0.99: 990e3} {
		got := h.Percentile(p)
		is.True(got > 0.98*want && got < 1.02*want)
	}
	l.Note(-time.Second)
	l.Note(48 * time.Hour)
	is.Equal(l.Min(), int64(1))
	is.True(l.Max() >= maxLatency.Microseconds())
}
