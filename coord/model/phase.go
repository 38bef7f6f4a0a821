package model

// Phase is how far a job has come.
type Phase int

// The phases of a job. The last three are final.
const (
	Queued Phase = iota
	Running
	Done
	Failed
	Cancelled
)

// Final reports whether the job has ended.
func (p Phase) Final() bool { return p >= Done }
