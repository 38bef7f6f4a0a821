package meter

import (
	"math"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rcrowley/go-metrics"
)

const (
	// maxLatency is the longest duration that a Latency records; longer ones are
	// recorded as maxLatency.
	maxLatency = time.Hour
	// significantDigits is the precision of recorded values in decimal digits.
	significantDigits = 2
)

// Latency is a histogram of all durations recorded since it was created or last
// cleared. Values are microseconds from 1 to one hour, with two significant
// digits. It implements metrics.Histogram and may be used concurrently.
type Latency struct {
	mu   sync.Mutex // guards hist
	hist *hdrhistogram.Histogram
}

// NewLatency returns the Latency that is registered in r under name, and registers
// a new one if there is none. If another kind of metric has that name, it returns
// a Latency that isn't registered.
func NewLatency(name string, r metrics.Registry) *Latency {
	l, ok := r.GetOrRegister(name, func() any {
		return &Latency{hist: hdrhistogram.New(1, maxLatency.Microseconds(), significantDigits)}
	}).(*Latency)
	if !ok { // Another kind of metric has the name.
		return &Latency{hist: hdrhistogram.New(1, maxLatency.Microseconds(), significantDigits)}
	}
	return l
}

// Note records a duration.
func (l *Latency) Note(d time.Duration) { l.Update(d.Microseconds()) }

// Update implements metrics.Histogram. It records v microseconds; values out of
// range are recorded as the nearest value within it.
func (l *Latency) Update(v int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.hist.RecordValue(min(max(1, v), maxLatency.Microseconds())) // Never fails, because the value is within the range.
}

// Snapshot implements metrics.Histogram. It returns a copy.
func (l *Latency) Snapshot() metrics.Histogram {
	l.mu.Lock()
	defer l.mu.Unlock()
	return &Latency{hist: hdrhistogram.Import(l.hist.Export())}
}

// Clear implements metrics.Histogram.
func (l *Latency) Clear() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hist.Reset()
}

// Count implements metrics.Histogram.
func (l *Latency) Count() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.hist.TotalCount()
}

// Max implements metrics.Histogram.
func (l *Latency) Max() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.hist.Max()
}

// Min implements metrics.Histogram.
func (l *Latency) Min() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.hist.Min()
}

// Mean implements metrics.Histogram.
func (l *Latency) Mean() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.hist.Mean()
}

// StdDev implements metrics.Histogram.
func (l *Latency) StdDev() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.hist.StdDev()
}

// Variance implements metrics.Histogram.
func (l *Latency) Variance() float64 { return math.Pow(l.StdDev(), 2) }

// Sum implements metrics.Histogram. The result is approximate, because values are
// recorded with limited precision.
func (l *Latency) Sum() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return int64(l.hist.Mean() * float64(l.hist.TotalCount()))
}

// Percentile implements metrics.Histogram. p is a fraction from 0 to 1.
func (l *Latency) Percentile(p float64) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	const percent = 100
	return float64(l.hist.ValueAtQuantile(p * percent))
}

// Percentiles implements metrics.Histogram.
func (l *Latency) Percentiles(ps []float64) []float64 {
	out := make([]float64, len(ps))
	for i, p := range ps {
		out[i] = l.Percentile(p)
	}
	return out
}

// Sample implements metrics.Histogram. It returns an empty sample, because
// individual values aren't kept.
func (l *Latency) Sample() metrics.Sample { return metrics.NilSample{} }
