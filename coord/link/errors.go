package link

// RemoteError is an error that the peer reported.
type RemoteError struct {
	Code string // one of the wire.Reason codes, or "verb" if the peer has no handler for the verb
	Text string // details for people
}

// Error implements error.
func (e *RemoteError) Error() string { return "peer: " + e.Code + ": " + e.Text }

// PanicError reports a handler that panicked. Its peer gets a *RemoteError with the code
// "error".
type PanicError struct {
	Verb  string
	Cause any
	Stack []byte // of the goroutine
}

// Error implements error.
func (e *PanicError) Error() string { return "handler of " + e.Verb + " panicked" }

// DialError reports that no connection or stream could be opened, or no address
// bound. No message was sent.
type DialError struct {
	Address string
	Err     error
}

// Error implements error.
func (e *DialError) Error() string { return "dial " + e.Address + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *DialError) Unwrap() error { return e.Err }

// StreamError reports that a stream broke, or that a message couldn't be encoded
// or decoded. Messages may have been sent before.
type StreamError struct {
	Op  string // encode, decode, send or receive
	Err error
}

// Error implements error.
func (e *StreamError) Error() string { return e.Op + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *StreamError) Unwrap() error { return e.Err }

// SizeError reports an item that exceeds the size limit.
type SizeError struct {
	Size  int // bytes
	Limit int // bytes
}

// Error implements error.
func (e *SizeError) Error() string { return "item is larger than the limit" }

// CutError reports that the Gate blocks traffic with a peer.
type CutError struct{ Address string }

// Error implements error.
func (e *CutError) Error() string { return e.Address + " is cut off" }

// TLSError reports a certificate that can't be issued.
type TLSError struct {
	Path string // file or directory that it was issued to, or "private"
	Err  error
}

// Error implements error.
func (e *TLSError) Error() string { return "certificate " + e.Path + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *TLSError) Unwrap() error { return e.Err }
