package model

import "strconv"

// Phase is the lifecycle state of a job.
type Phase int

// The phases of a job. The last three are final.
const (
	Queued Phase = iota
	Running
	Done
	Failed
	Cancelled
)

// String returns the phase's name, such as "queued".
func (p Phase) String() string {
	switch p {
	case Queued:
		return "queued"
	case Running:
		return "running"
	case Done:
		return "done"
	case Failed:
		return "failed"
	case Cancelled:
		return "cancelled"
	}
	return "unknown"
}

// Check returns an *UnknownPhaseError for a value that isn't a phase.
func (p Phase) Check() error {
	if p < Queued || p > Cancelled {
		return &UnknownPhaseError{Phase: p}
	}
	return nil
}

// UnknownPhaseError reports a value that isn't a phase.
type UnknownPhaseError struct{ Phase Phase }

// Error implements error.
func (e *UnknownPhaseError) Error() string { return "unknown phase " + strconv.Itoa(int(e.Phase)) }

// Final reports whether the job has ended.
func (p Phase) Final() bool { return p >= Done }
