package ledger

import "time"

// End is the row that records when a job's end was written.
type End struct {
	Ended int64 `cbor:"ended"` // Unix seconds
}

// Since returns the time from e to now. It is negative if e is after now.
func (e End) Since(now time.Time) time.Duration { return now.Sub(time.Unix(e.Ended, 0)) }
