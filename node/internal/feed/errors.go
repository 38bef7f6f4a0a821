package feed

// UnavailableError reports that a feeder didn't provide changes.
type UnavailableError struct {
	Host string // the feeder, empty if this host has none
	Err  error  // nil if the feeder replied that it can't
}

// Error implements error.
func (e *UnavailableError) Error() string {
	text := "no feed"
	if e.Host != "" {
		text += " from host " + e.Host
	}
	if e.Err != nil {
		text += ": " + e.Err.Error()
	}
	return text
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Err }
