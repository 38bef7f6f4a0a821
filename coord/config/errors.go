package config

import (
	"strconv"

	"github.com/balsamford/balsamford/coord/audit"
)

// CorruptError reports content whose SHA-256 isn't the expected digest.
type CorruptError struct {
	Version uint64
	Want    string
	Got     string
}

// Error implements error.
func (e *CorruptError) Error() string {
	return "version " + strconv.FormatUint(e.Version, 10) + ": content has digest " + e.Got + ", not " + e.Want
}

// FormError reports a row or an object that can't be encoded or decoded. Key is
// the row's key or the object's name.
type FormError struct {
	Key string
	Err error
}

// Error implements error.
func (e *FormError) Error() string { return "row " + Table + "/" + e.Key + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *FormError) Unwrap() error { return e.Err }

// LoadError reports a version whose content could not be loaded from any
// source.
type LoadError struct {
	Version uint64
	Err     error // error of the first source
}

// Error implements error.
func (e *LoadError) Error() string {
	return "version " + strconv.FormatUint(e.Version, 10) + " can't be loaded: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *LoadError) Unwrap() error { return e.Err }

// ConflictError reports an edit that was not published because another publish
// came first.
type ConflictError struct {
	Base   uint64       `json:"base"`             // version that the edit was made to
	Head   Head         `json:"head"`             // the newest version
	Theirs []Difference `json:"theirs,omitempty"` // changes from Base to the newest version
	Yours  []Difference `json:"yours,omitempty"`  // changes that the edit would make
}

// Error implements error.
func (e *ConflictError) Error() string {
	return "version " + strconv.FormatUint(e.Head.Version, 10) + " by " + e.Head.Author + " came first, the edit was made to version " +
		strconv.FormatUint(e.Base, 10) + "; look at the difference and publish again on the newest version"
}

// UnpublishedError reports an edit that certainly took no effect, because the
// platform failed or the context ended first.
type UnpublishedError struct {
	ID   string
	Step string // turn (waiting for other edits of the process), read, object or commit
	Err  error
}

// Error implements error.
func (e *UnpublishedError) Error() string {
	return "not published, the platform failed at step " + e.Step + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *UnpublishedError) Unwrap() error { return e.Err }

// UnknownError reports an edit whose outcome is unknown: it may or may not have
// taken effect. Publishing it again with the same ID determines the outcome and
// applies the edit at most once.
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

// UsedError reports an ID that is already the ID of an audit record whose
// verdict isn't audit.Accepted.
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

// WaitError reports that a wait ended before the published version was in force
// everywhere. The version stays published.
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
