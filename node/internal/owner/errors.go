package owner

import "time"

// OwnershipLostError is the cause of a term's end when another host owns the cell.
type OwnershipLostError struct {
	Epoch int64  // of the term that ended
	Host  string // current owner, empty if unknown
}

// Error implements error.
func (e *OwnershipLostError) Error() string { return "ownership lost to host " + e.Host }

// StopError is the cause of a term's end when the process stops.
type StopError struct{}

// Error implements error.
func (e *StopError) Error() string { return "process is stopping" }

// HandoverError is the cause of a term's end when a host that is better suited takes the cell
// over.
type HandoverError struct {
	Host   string // the better host
	Reason string
}

// Error implements error.
func (e *HandoverError) Error() string { return "handing over to host " + e.Host + ": " + e.Reason }

// NoOwnerError reports that no request was sent, because no owner is known or the
// owner is not responding.
type NoOwnerError struct {
	Epoch        int64 // of the last known owner
	Unresponsive bool  // the owner didn't respond recently
}

// Error implements error.
func (e *NoOwnerError) Error() string {
	if e.Unresponsive {
		return "owner did not respond recently"
	}
	return "no owner is known"
}

// WriteTimeoutError reports a write to the store that got no response in time. Its
// outcome is unknown: it may have been applied, or may still be.
type WriteTimeoutError struct{ Waited time.Duration }

// Error implements error.
func (e *WriteTimeoutError) Error() string {
	return "no response to a write to the store after " + e.Waited.String()
}
