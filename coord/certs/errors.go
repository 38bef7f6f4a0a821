package certs

import (
	"strings"
	"time"
)

// FileError reports a file that can't be read or whose content is invalid.
type FileError struct {
	Setting string // cert, key or authority
	Path    string
	Err     error
}

// Error implements error.
func (e *FileError) Error() string { return e.Setting + ": " + e.detail() }

// detail returns the error's text without the setting.
func (e *FileError) detail() string { return e.Path + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *FileError) Unwrap() error { return e.Err }

// InvalidError reports all faults of the files of one certificate.
type InvalidError struct {
	Name   string // name of the Loader
	Faults []*FileError
}

// Error implements error.
func (e *InvalidError) Error() string {
	texts := make([]string, 0, len(e.Faults))
	for _, f := range e.Faults {
		texts = append(texts, f.Error())
	}
	return "certificate of " + e.Name + ": " + strings.Join(texts, "; ")
}

// Unwrap returns the faults.
func (e *InvalidError) Unwrap() []error {
	errs := make([]error, 0, len(e.Faults))
	for _, f := range e.Faults {
		errs = append(errs, f)
	}
	return errs
}

// EmptyError reports a file without a certificate, or a peer that sent none.
type EmptyError struct{}

// Error implements error.
func (*EmptyError) Error() string { return "no certificate found; name a PEM file with at least one" }

// PairError reports a private key that can't be read or doesn't belong to the
// certificate.
type PairError struct {
	Cert string // path of the certificate
	Err  error
}

// Error implements error.
func (e *PairError) Error() string { return "not the key of " + e.Cert + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *PairError) Unwrap() error { return e.Err }

// TimeError reports a certificate that has expired or isn't valid yet.
type TimeError struct{ From, Until time.Time }

// Error implements error.
func (e *TimeError) Error() string {
	return "valid only from " + e.From.UTC().Format(time.RFC3339) + " until " + e.Until.UTC().Format(time.RFC3339) + "; issue a new one"
}
