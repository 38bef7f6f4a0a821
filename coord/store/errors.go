package store

// MissingError reports a row or object that doesn't exist.
type MissingError struct{ Name string }

// Error implements error.
func (e *MissingError) Error() string { return e.Name + " does not exist" }

// ConflictError reports a transaction whose condition failed; nothing of it
// took effect. Row is the row as it stands, Version 0 if it doesn't exist.
type ConflictError struct {
	Table string `json:"table"`
	Row   Row    `json:"row"`
}

// Error implements error.
func (e *ConflictError) Error() string {
	return "row " + e.Table + "/" + e.Row.Key + " has another version"
}

// UnavailableError reports that the platform didn't answer. A write whose
// call fails with it may have taken effect, unless Unsent is true.
type UnavailableError struct {
	Op     string
	Unsent bool
	Err    error
}

// Error implements error.
func (e *UnavailableError) Error() string {
	if e.Err == nil {
		return "platform unavailable: " + e.Op
	}
	return "platform unavailable: " + e.Op + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Err }
