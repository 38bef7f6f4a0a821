package jobs

// DrivenError reports a job that another placer drives.
type DrivenError struct {
	ID     string
	Driver string
}

// Error implements error.
func (e *DrivenError) Error() string { return "job " + e.ID + " is driven by " + e.Driver }

// RowError reports a job's row that can't be encoded or decoded.
type RowError struct {
	Key string
	Err error
}

// Error implements error.
func (e *RowError) Error() string { return "row of job " + e.Key + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *RowError) Unwrap() error { return e.Err }

// ReplacedError reports a job that this placer no longer drives.
type ReplacedError struct{ ID string }

// Error implements error.
func (e *ReplacedError) Error() string { return "job " + e.ID + " has another driver" }

// UnwrittenError reports a change of a job that couldn't be written in time. It
// may still be written later.
type UnwrittenError struct{ ID string }

// Error implements error.
func (e *UnwrittenError) Error() string { return "job " + e.ID + " couldn't be written" }

// GoneError reports a placer that isn't alive according to the membership list.
type GoneError struct{ Placer string }

// Error implements error.
func (e *GoneError) Error() string { return "placer " + e.Placer + " is gone" }
