package record

// AloneError reports that there is no other entry host.
type AloneError struct{}

// Error implements error.
func (*AloneError) Error() string { return "there is no other entry host" }

// SilentError reports a host that isn't asked because it didn't answer a
// moment ago.
type SilentError struct{ Host string }

// Error implements error.
func (e *SilentError) Error() string { return e.Host + " didn't answer a moment ago" }

// AskError reports a call that can't be understood.
type AskError struct{ Op string }

// Error implements error.
func (e *AskError) Error() string { return "unknown record call " + e.Op }

// NoteError reports a row that can't be read.
type NoteError struct {
	Key string
	Err error
}

// Error implements error.
func (e *NoteError) Error() string { return "record row " + e.Key + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *NoteError) Unwrap() error { return e.Err }
