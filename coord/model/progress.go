package model

// Progress is what is recorded of a job's tasks: all that a new owner of the
// job can't learn from executors.
type Progress struct {
	Phase  Phase         `cbor:"1,keyasint,omitempty"`
	Occurs map[int]Occur `cbor:"2,keyasint,omitempty"` // by occurrence; finished ones have no stages
}

// Occur is the progress of one occurrence of a job.
type Occur struct {
	Done   bool          `cbor:"1,keyasint,omitempty"`
	Stages map[int]Stage `cbor:"2,keyasint,omitempty"` // by step, those with anything to say
}

// Stage is the progress of one step.
type Stage struct {
	Done   []byte        `cbor:"1,keyasint,omitempty"` // one bit a task
	Failed map[int][]int `cbor:"2,keyasint,omitempty"` // numbers of failed runs by task; of a gang under 0
	Runs   map[int]Place `cbor:"3,keyasint,omitempty"` // by task, those that may be present
	// Spares are other runs that may be present, which aren't wanted.
	Spares map[int][]Place `cbor:"4,keyasint,omitempty"`
}
