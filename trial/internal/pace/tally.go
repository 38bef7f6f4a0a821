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
	longest = int64(time.Minute / time.Microsecond)
	digits  = 3 // of a histogram's precision
)

// tally collects what became of many requests. It may be used concurrently.
type tally struct {
	mu      sync.Mutex              // guards the fields below
	took    *hdrhistogram.Histogram // of the done ones, in microseconds
	ends    []time.Time             // of the done ones
	refused *hdrhistogram.Histogram // of refused tries, in microseconds
	sent    int
	reasons map[string]int // of the others
}

func newTally() *tally {
	return &tally{took: hdrhistogram.New(1, longest, digits), refused: hdrhistogram.New(1, longest, digits), reasons: make(map[string]int)}
}

func (t *tally) add(s served) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sent++
	for _, d := range s.refusals {
		_ = t.refused.RecordValue(d.Microseconds())
	}
	if !s.done {
		t.reasons[s.reason]++
		return
	}
	_ = t.took.RecordValue(s.took.Microseconds())
	t.ends = append(t.ends, s.sent.Add(s.took))
}

func (t *tally) done() int { return int(t.took.TotalCount()) }

// quantile returns the time below which q percent of the done ones stayed.
func (t *tally) quantile(q float64) time.Duration {
	return time.Duration(t.took.ValueAtQuantile(q)) * time.Microsecond
}

// before counts those that were done before a time.
func (t *tally) before(end time.Time) int {
	n := 0
	for _, at := range t.ends {
		if at.Before(end) {
			n++
		}
	}
	return n
}

// gap returns the longest time after from in which none was done.
func (t *tally) gap(from time.Time) time.Duration {
	sort.Slice(t.ends, func(i, j int) bool { return t.ends[i].Before(t.ends[j]) })
	last, gap := from, time.Duration(0)
	for _, end := range t.ends {
		if end.After(last) {
			gap, last = max(gap, end.Sub(last)), end
		}
	}
	return gap
}

// refusals describes the refused tries, of which one request may have several.
func (t *tally) refusals() string {
	n := t.refused.TotalCount()
	if n == 0 {
		return ""
	}
	return fmt.Sprintf("; %d tries refused after p50 %v, p99 %v", n,
		time.Duration(t.refused.ValueAtQuantile(50))*time.Microsecond, time.Duration(t.refused.ValueAtQuantile(99))*time.Microsecond)
}

// others lists what became of those that weren't done.
func (t *tally) others() string {
	text := ""
	for _, r := range slices.Sorted(maps.Keys(t.reasons)) {
		text += fmt.Sprintf("; %d %s", t.reasons[r], r)
	}
	return text
}
