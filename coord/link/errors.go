package link

// RemoteError is a failure that the other side reported.
type RemoteError struct {
	Code string // one of the wire.Reason codes
	Text string
}

// Error implements error.
func (e *RemoteError) Error() string { return "peer: " + e.Code + ": " + e.Text }

// DialError reports that nothing was sent, because no connection or stream
// could be opened.
type DialError struct {
	Address string
	Err     error
}

// Error implements error.
func (e *DialError) Error() string { return "dial " + e.Address + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *DialError) Unwrap() error { return e.Err }

// StreamError reports a stream that broke after something may have been sent.
type StreamError struct {
	Op  string
	Err error
}

// Error implements error.
func (e *StreamError) Error() string { return e.Op + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *StreamError) Unwrap() error { return e.Err }

// SizeError reports an item over the limit.
type SizeError struct {
	Size  int
	Limit int
}

// Error implements error.
func (e *SizeError) Error() string { return "item is larger than the limit" }

// CutError reports a peer that a fault switch has cut off.
type CutError struct{ Address string }

// Error implements error.
func (e *CutError) Error() string { return e.Address + " is cut off" }

// TLSError reports certificates that can't be issued.
type TLSError struct {
	Path string
	Err  error
}

// Error implements error.
func (e *TLSError) Error() string { return "certificate " + e.Path + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *TLSError) Unwrap() error { return e.Err }
