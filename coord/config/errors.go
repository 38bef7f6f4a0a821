package config

import "strconv"

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
