package model

// Progress is the recorded state of a job's tasks. It holds everything that a
// new owner of the job can't learn from executors.
type Progress struct {
	Phase  Phase         `cbor:"1,keyasint,omitempty"`
	Occurs map[int]Occur `cbor:"2,keyasint,omitempty"` // by occurrence number; finished ones have no stages
	// Next is the number of the first occurrence that may not have begun. Earlier ones that
	// aren't in Occurs have finished.
	Next int `cbor:"3,keyasint,omitempty"`
}

// Check returns an *UnknownPhaseError if the record was damaged.
func (p *Progress) Check() error { return p.Phase.Check() }

// Occur is the progress of one occurrence of a job.
type Occur struct {
	Done   bool          `cbor:"1,keyasint,omitempty"`
	Stages map[int]Stage `cbor:"2,keyasint,omitempty"` // by step number; a step without progress has none
}

// Stage is the progress of one step.
type Stage struct {
	Done   []byte        `cbor:"1,keyasint,omitempty"` // bit set of the tasks that are done
	Failed map[int][]int `cbor:"2,keyasint,omitempty"` // numbers of failed runs by task; those of a gang are under 0
	Runs   map[int]Place `cbor:"3,keyasint,omitempty"` // run that may be present, by task
	// Spares are further runs that may be present, by task. They are redundant.
	Spares map[int][]Place `cbor:"4,keyasint,omitempty"`
}
