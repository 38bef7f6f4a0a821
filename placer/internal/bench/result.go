package bench

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Result is what one run measured.
type Result struct {
	Load, Engine string
	waits        map[string]*hdrhistogram.Histogram // microseconds, by kind or "urgent"
	decides      *hdrhistogram.Histogram            // nanoseconds of each Decide that decided something
	starts       int
	work         float64 // processor seconds of work finished
	over         int     // endpoints given more than they declare
	twice        int     // tasks started while they ran
	gangsSplit   int     // gangs of which a part was started
	preempts     int
	failed       int           // tasks that a broken worker failed
	wave         time.Duration // processor time of the wave of cancellations
	busy         mean          // part of the workers' processors that is given, while work waits
	taken        mean          // part of the workers' processors that is given or used
	hot          mean          // part of the workers whose tasks want more processors than there are
	off          []float64     // of each full window: largest distance of a team from its share
	last         int           // tasks still waiting at the end
}

// mean is a running mean.
type mean struct {
	sum float64
	n   int
}

func (m *mean) add(x float64) { m.sum, m.n = m.sum+x, m.n+1 }

// value returns the mean, 0 of nothing.
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
	worstWindows = 0.95 // quantile of the windows that is reported beside the mean
)

func newResult(load, engine string) *Result {
	return &Result{
		Load: load, Engine: engine,
		waits:   make(map[string]*hdrhistogram.Histogram),
		decides: hdrhistogram.New(1, minuteNanos, sigDigits),
	}
}

func (r *Result) wait(kind string, d time.Duration) {
	h := r.waits[kind]
	if h == nil {
		h = hdrhistogram.New(1, hourMicros, sigDigits)
		r.waits[kind] = h
	}
	_ = h.RecordValue(max(d.Microseconds(), 1)) // no wait is longer than the run
}

// Wait returns a quantile, in percent, of the waiting time of a kind.
func (r *Result) Wait(kind string, percent float64) time.Duration {
	h := r.waits[kind]
	if h == nil {
		return 0
	}
	return time.Duration(h.ValueAtQuantile(percent)) * time.Microsecond
}

// Decide returns a quantile, in percent, of the time that a pass took.
func (r *Result) Decide(percent float64) time.Duration {
	return time.Duration(r.decides.ValueAtQuantile(percent))
}
