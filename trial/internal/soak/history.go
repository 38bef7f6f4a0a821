package soak

import (
	"fmt"
	"sync"
	"time"

	"github.com/balsamford/balsamford/platform/fake"
)

// jobRecord is a submitted job with what its client has observed.
type jobRecord struct {
	job             *fake.Job
	path            string // path prefix of its queue
	fails           bool   // its tasks always fail
	accepted        bool
	acceptedAt      time.Time
	cancelRequested bool
	cancelled       bool   // the cancellation was acknowledged
	finalState      string // done, failed or cancelled, once observed
}

// tasks returns the number of the job's tasks.
func (rec *jobRecord) tasks() int {
	n := 0
	for _, s := range rec.job.Steps {
		n += s.Count
	}
	return n
}

// history records what clients have observed, the injected faults, and the violations
// of the scheduler's guarantees found so far. It may be used concurrently.
type history struct {
	mu         sync.Mutex // guards the fields below
	jobs       map[string]*jobRecord
	violations []string
	faults     []string
	started    time.Time      // of the soak
	configs    map[string]int // newest version observed, by incarnation of a host
}

// newHistory returns an empty history that starts now.
func newHistory() *history {
	return &history{jobs: make(map[string]*jobRecord), configs: make(map[string]int), started: time.Now()}
}

// recordViolation records a violation with the time since the start.
func (h *history) recordViolation(format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.violations = append(h.violations, fmt.Sprintf("%.3f s: ", time.Since(h.started).Seconds())+fmt.Sprintf(format, args...))
}

// recordFault records an injected fault with the time since the start.
func (h *history) recordFault(format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.faults = append(h.faults, fmt.Sprintf("%.3f s: ", time.Since(h.started).Seconds())+fmt.Sprintf(format, args...))
}

// add adds a job that is about to be submitted.
func (h *history) add(rec *jobRecord) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.jobs[rec.job.ID] = rec
}

// markAccepted records that a job was accepted.
func (h *history) markAccepted(rec *jobRecord) {
	h.mu.Lock()
	defer h.mu.Unlock()
	rec.accepted, rec.acceptedAt = true, time.Now()
}

// markCancelRequested records that a job's cancellation is about to be requested.
func (h *history) markCancelRequested(rec *jobRecord) {
	h.mu.Lock()
	defer h.mu.Unlock()
	rec.cancelRequested = true
}

// markCancelled records that a job's cancellation was acknowledged.
func (h *history) markCancelled(rec *jobRecord) {
	h.mu.Lock()
	defer h.mu.Unlock()
	rec.cancelled = true
}

// observeState records a state that a host reported and checks that a final state
// doesn't change.
func (h *history) observeState(rec *jobRecord, state string) {
	h.mu.Lock()
	old := rec.finalState
	if state == "done" || state == "failed" || state == "cancelled" {
		rec.finalState = state
	}
	h.mu.Unlock()
	if old == "cancelled" && rec.cancelRequested {
		return // The job may have ended before the cancellation reached the owner.
	}
	if old != "" && old != state {
		h.recordViolation("job %s is shown as %s after %s", rec.job.ID, state, old)
	}
}

// observeConfig records the version of a host's configuration and checks that it
// doesn't decrease within an incarnation of the host.
func (h *history) observeConfig(host string, incarnation, version int) {
	h.mu.Lock()
	name := fmt.Sprintf("%s incarnation %d", host, incarnation)
	old := h.configs[name]
	h.configs[name] = max(old, version)
	h.mu.Unlock()
	if version < old {
		h.recordViolation("%s returned from configuration %d to %d", name, old, version)
	}
}

// acceptedJobs returns the accepted jobs.
func (h *history) acceptedJobs() []*jobRecord {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []*jobRecord
	for _, rec := range h.jobs {
		if rec.accepted {
			out = append(out, rec)
		}
	}
	return out
}
