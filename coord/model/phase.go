package model

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

// Final reports whether the job has ended.
func (p Phase) Final() bool { return p >= Done }
