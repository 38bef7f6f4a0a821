package ledger

import "time"

// End says when a job's end was written.
type End struct {
	Ended int64 `cbor:"ended"` // Unix seconds
}

// Since returns how long ago that was; below 0 if it lies ahead.
func (e End) Since(now time.Time) time.Duration { return now.Sub(time.Unix(e.Ended, 0)) }
