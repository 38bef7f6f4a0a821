package store

// MissingError reports a row or object that doesn't exist.
type MissingError struct{ Name string }

// Error implements error.
func (e *MissingError) Error() string { return e.Name + " does not exist" }

// ConflictError reports a transaction that was not applied because the version
// of a row wasn't the expected one. Row is the current row; its Version is 0 if
// the row doesn't exist.
type ConflictError struct {
	Table string `json:"table"`
	Row   Row    `json:"row"`
}

// Error implements error.
func (e *ConflictError) Error() string {
	return "row " + e.Table + "/" + e.Row.Key + " has another version"
}

// UnavailableError reports that the platform gave no valid response. The outcome
// of a write that fails with it is unknown, unless Unsent is true.
type UnavailableError struct {
	Op     string // the operation, like "commit"
	Unsent bool   // the request was certainly not sent
	Err    error  // the cause; may be nil
}

// Error implements error.
func (e *UnavailableError) Error() string {
	if e.Err == nil {
		return "platform unavailable: " + e.Op
	}
	return "platform unavailable: " + e.Op + ": " + e.Err.Error()
}

// Unwrap returns the cause, or nil.
func (e *UnavailableError) Unwrap() error { return e.Err }
