package config

import (
	"strconv"

	"github.com/balsamford/balsamford/coord/audit"
)

// CorruptError reports content whose digest is not the one that was asked
// for.
type CorruptError struct {
	Version uint64
	Want    string
	Got     string
}

// Error implements error.
func (e *CorruptError) Error() string {
	return "version " + strconv.FormatUint(e.Version, 10) + ": content has digest " + e.Got + ", not " + e.Want
}

// FormError reports a row that can't be understood.
type FormError struct {
	Key string
	Err error
}

// Error implements error.
func (e *FormError) Error() string { return "row " + Table + "/" + e.Key + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *FormError) Unwrap() error { return e.Err }

// LoadError reports a version whose content no source had.
type LoadError struct {
	Version uint64
	Err     error // of the first source
}

// Error implements error.
func (e *LoadError) Error() string {
	return "version " + strconv.FormatUint(e.Version, 10) + " can't be loaded: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *LoadError) Unwrap() error { return e.Err }

// ConflictError reports an edit that another publish came before.
type ConflictError struct {
	Base   uint64       `json:"base"`             // version that the edit was made to
	Head   Head         `json:"head"`             // the newest version
	Theirs []Difference `json:"theirs,omitempty"` // what the newest version changed since
	Yours  []Difference `json:"yours,omitempty"`  // what the edit would change
}

// Error implements error.
func (e *ConflictError) Error() string {
	return "version " + strconv.FormatUint(e.Head.Version, 10) + " by " + e.Head.Author + " came first, the edit was made to version " +
		strconv.FormatUint(e.Base, 10) + "; look at the difference and publish again on the newest version"
}

// UnpublishedError reports an edit that certainly took no effect, because the
// platform didn't answer.
type UnpublishedError struct {
	ID   string
	Step string // read, object or commit
	Err  error
}

// Error implements error.
func (e *UnpublishedError) Error() string {
	return "not published, the platform failed at step " + e.Step + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *UnpublishedError) Unwrap() error { return e.Err }

// UnknownError reports an edit that may have taken effect or not. Publishing
// it again under the same id finds out and does it at most once.
type UnknownError struct {
	ID  string
	Err error
}

// Error implements error.
func (e *UnknownError) Error() string {
	return "not known whether " + e.ID + " was published; publish again with the same id: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() error { return e.Err }

// UsedError reports an id under which another action was recorded.
type UsedError struct {
	ID      string
	Verdict audit.Verdict
}

// Error implements error.
func (e *UsedError) Error() string {
	return "id " + e.ID + " was used before and was " + string(e.Verdict) + "; publish under a new id"
}

// MissingVersionError reports a version that was never published.
type MissingVersionError struct{ Version uint64 }

// Error implements error.
func (e *MissingVersionError) Error() string {
	return "there is no version " + strconv.FormatUint(e.Version, 10)
}

// WaitError reports a version that is published and was not yet in force
// everywhere when the wait ended.
type WaitError struct {
	Progress Progress
	Err      error
}

// Error implements error.
func (e *WaitError) Error() string {
	return "version " + strconv.FormatUint(e.Progress.Version, 10) + " is published, and not known to be in force at " +
		strconv.Itoa(len(e.Progress.Missing)) + " processes"
}

// Unwrap returns the cause.
func (e *WaitError) Unwrap() error { return e.Err }
