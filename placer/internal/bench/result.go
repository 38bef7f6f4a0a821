package bench

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Result contains the measurements of one run.
type Result struct {
	Load, Engine   string
	waitTimes      map[string]*hdrhistogram.Histogram // microseconds; by kind, or "urgent"
	decideTimes    *hdrhistogram.Histogram            // nanoseconds per Decide that returned decisions
	starts         int
	work           float64 // CPU seconds of completed work
	overcommitted  int     // starts that exceeded the capacity of their endpoint
	startedTwice   int     // starts of tasks that ran already
	gangsSplit     int     // gangs of which only a part was started
	preempts       int
	failed         int           // tasks that failed on a broken worker
	waveCancelTime time.Duration // real time that the cancellation wave took
	reserved       mean          // dominant fraction of the workers' capacity that teams hold, while tasks wait
	taken          mean          // fraction of the workers' processors that is reserved or used, while tasks wait
	overloaded     mean          // fraction of workers whose tasks use more processors than the worker has
	shareErrors    []float64     // largest distance of a team from its share, per window in which two teams had waiting tasks throughout
	waitingAtEnd   int           // tasks that wait at the end
}

// mean is a running mean.
type mean struct {
	sum float64
	n   int
}

func (m *mean) add(x float64) { m.sum, m.n = m.sum+x, m.n+1 }

// value returns the mean, or 0 without values.
func (m *mean) value() float64 {
	if m.n == 0 {
		return 0
	}
	return m.sum / float64(m.n)
}

const (
	hourMicros   = int64(time.Hour / time.Microsecond)
	minuteNanos  = int64(time.Minute)
	sigDigits    = 3
	tailQuantile = 0.95 // quantile of shareErrors that is printed besides the mean
)

func newResult(load, engine string) *Result {
	return &Result{
		Load: load, Engine: engine,
		waitTimes:   make(map[string]*hdrhistogram.Histogram),
		decideTimes: hdrhistogram.New(1, minuteNanos, sigDigits),
	}
}

func (r *Result) recordWait(kind string, d time.Duration) {
	h := r.waitTimes[kind]
	if h == nil {
		h = hdrhistogram.New(1, hourMicros, sigDigits)
		r.waitTimes[kind] = h
	}
	_ = h.RecordValue(max(d.Microseconds(), 1)) // in range, since no wait is longer than the run
}

// Wait returns a percentile of the waiting time of a kind, or of "urgent".
func (r *Result) Wait(kind string, percent float64) time.Duration {
	h := r.waitTimes[kind]
	if h == nil {
		return 0
	}
	return time.Duration(h.ValueAtQuantile(percent)) * time.Microsecond
}

// Decide returns a percentile of the duration of a scheduling pass.
func (r *Result) Decide(percent float64) time.Duration {
	return time.Duration(r.decideTimes.ValueAtQuantile(percent))
}
