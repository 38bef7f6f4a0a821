package meter

import (
	"math"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rcrowley/go-metrics"
)

const (
	// longestLatency bounds what a Latency tells apart; longer ones count as it.
	longestLatency = time.Hour
	// latencyDigits is the precision of its figures.
	latencyDigits = 2
)

// Latency is a histogram of durations in microseconds, over all that were noted since
// the process began. It implements metrics.Histogram and may be used concurrently.
type Latency struct {
	mu   sync.Mutex // guards hist
	hist *hdrhistogram.Histogram
}

// NewLatency returns the Latency that is registered under name, which it registers
// if there is none.
func NewLatency(name string, r metrics.Registry) *Latency {
	l, ok := r.GetOrRegister(name, func() any {
		return &Latency{hist: hdrhistogram.New(1, longestLatency.Microseconds(), latencyDigits)}
	}).(*Latency)
	if !ok { // Another kind of metric has the name; this one is kept apart.
		return &Latency{hist: hdrhistogram.New(1, longestLatency.Microseconds(), latencyDigits)}
	}
	return l
}

// Note adds one duration.
func (l *Latency) Note(d time.Duration) { l.Update(d.Microseconds()) }

// Update implements metrics.Histogram.
func (l *Latency) Update(v int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.hist.RecordValue(min(max(1, v), longestLatency.Microseconds())) // It is within the bounds.
}

// Snapshot implements metrics.Histogram.
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

// Sum implements metrics.Histogram, as far as the histogram's precision goes.
func (l *Latency) Sum() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return int64(l.hist.Mean() * float64(l.hist.TotalCount()))
}

// Percentile implements metrics.Histogram; p is from 0 to 1.
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

// Sample implements metrics.Histogram. No values are kept.
func (l *Latency) Sample() metrics.Sample { return metrics.NilSample{} }
