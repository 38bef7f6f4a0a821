package model

import (
	"fmt"
	"math"
)

// FinishedSize is an upper bound of what a finished occurrence takes in an encoded Progress that
// names it, in bytes.
const FinishedSize = 24

// Upper bounds of what the other parts take.
const (
	recordHeadSize = 64
	stageSize      = 40 // beside the bits of the tasks that are done
	runSize        = 24 // beside the executor's ID
	failureSize    = 20
	tasksPerByte   = 8
	typicalIDSize  = 32 // of an executor
)

// OccurrenceSize returns an upper bound of what an occurrence of the job without runs and
// failures takes in its encoded Progress, in bytes.
func (j *Job) OccurrenceSize() int {
	n := FinishedSize
	for i := range j.Steps {
		n += stageSize + j.Steps[i].Count/tasksPerByte
	}
	return n
}

// RecordSize returns an upper bound of the size of an encoded Progress, in bytes, with
// occurrences of a total size, failures and runs, if the IDs of executors have up to idSize bytes.
func RecordSize(occurrences, failures, runs, idSize int) int {
	return recordHeadSize + occurrences + failures*failureSize + runs*(runSize+idSize)
}

// MaxRuns returns the number of runs up to which RecordSize is at most size, and no limit if
// size is 0.
func MaxRuns(size, occurrences, failures, idSize int) int {
	if size == 0 {
		return math.MaxInt
	}
	return max(0, (size-RecordSize(occurrences, failures, 0, idSize))/(runSize+idSize))
}

// MaxOccurrences returns how many occurrences of the job may be open at the same time, so that
// they take up to half of a Progress of at most size bytes. It is at least 1.
func (j *Job) MaxOccurrences(size int) int {
	if size == 0 {
		return math.MaxInt
	}
	return max(1, size/2/j.OccurrenceSize())
}

// CheckRecord returns a *RecordLimitError if a Progress of at most size bytes can't hold the
// runs that the job needs at the same time: those of its tasks that last, and of a gang. All
// occurrences with tasks that last stay open.
func (j *Job) CheckRecord(size int) error {
	lasting, gang := 0, 1
	for i := range j.Steps {
		switch s := &j.Steps[i]; {
		case s.Lasting:
			lasting += s.Count
		case s.Gang:
			gang = max(gang, s.Count)
		}
	}
	open := 1
	if lasting > 0 {
		open = min(j.Occurrences(), j.MaxOccurrences(size))
	}
	most := MaxRuns(size, open*j.OccurrenceSize(), 0, typicalIDSize)
	if gang > most || lasting > (most-gang)/j.Occurrences() || lasting > 0 && open < j.Occurrences() {
		return &RecordLimitError{Lasting: lasting, Gang: gang, Most: most}
	}
	return nil
}

// RecordLimitError reports a job that needs more runs at the same time than can be recorded.
type RecordLimitError struct {
	Lasting int // tasks that last, of each occurrence
	Gang    int // tasks of the largest gang, at least 1
	Most    int // runs that can be recorded
}

// Error implements error.
func (e *RecordLimitError) Error() string {
	return fmt.Sprintf("job: %d tasks that last in each occurrence and %d of a gang are more than the %d that can be recorded", e.Lasting, e.Gang, e.Most)
}
