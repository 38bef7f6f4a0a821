package pace

import (
	"fmt"
	"maps"
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	maxMicros         = int64(time.Minute / time.Microsecond)
	significantDigits = 3 // precision of the histograms
)

// tally collects the results of requests. add may be called concurrently; the
// other methods only after the last add.
type tally struct {
	mu        sync.Mutex              // guards the fields below
	latencies *hdrhistogram.Histogram // of done requests, in microseconds
	ends      []time.Time             // of done requests
	refused   *hdrhistogram.Histogram // durations of refused tries, in microseconds
	sent      int
	reasons   map[string]int // counts of the reasons why requests were not done
}

func newTally() *tally {
	return &tally{latencies: hdrhistogram.New(1, maxMicros, significantDigits), refused: hdrhistogram.New(1, maxMicros, significantDigits), reasons: make(map[string]int)}
}

func (t *tally) add(res result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sent++
	for _, d := range res.refusals {
		_ = t.refused.RecordValue(d.Microseconds())
	}
	if !res.done {
		t.reasons[res.reason]++
		return
	}
	_ = t.latencies.RecordValue(res.elapsed.Microseconds())
	t.ends = append(t.ends, res.sent.Add(res.elapsed))
}

func (t *tally) done() int { return int(t.latencies.TotalCount()) }

// quantile returns the latency at percentile q, from 0 to 100, of done requests.
func (t *tally) quantile(q float64) time.Duration {
	return time.Duration(t.latencies.ValueAtQuantile(q)) * time.Microsecond
}

// doneBefore returns how many requests were done before end.
func (t *tally) doneBefore(end time.Time) int {
	n := 0
	for _, doneAt := range t.ends {
		if doneAt.Before(end) {
			n++
		}
	}
	return n
}

// longestGap returns the longest time after from without a done request.
func (t *tally) longestGap(from time.Time) time.Duration {
	sort.Slice(t.ends, func(i, j int) bool { return t.ends[i].Before(t.ends[j]) })
	last, gap := from, time.Duration(0)
	for _, end := range t.ends {
		if end.After(last) {
			gap, last = max(gap, end.Sub(last)), end
		}
	}
	return gap
}

// refusalText formats the count and the durations of refused tries. One request
// may have several.
func (t *tally) refusalText() string {
	n := t.refused.TotalCount()
	if n == 0 {
		return ""
	}
	return fmt.Sprintf("; %d tries refused after p50 %v, p99 %v", n,
		time.Duration(t.refused.ValueAtQuantile(50))*time.Microsecond, time.Duration(t.refused.ValueAtQuantile(99))*time.Microsecond)
}

// failures formats the counts of the reasons why requests were not done.
func (t *tally) failures() string {
	text := ""
	for _, r := range slices.Sorted(maps.Keys(t.reasons)) {
		text += fmt.Sprintf("; %d %s", t.reasons[r], r)
	}
	return text
}
