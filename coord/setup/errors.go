package setup

import "strings"

// FileError reports a settings file that can't be read.
type FileError struct {
	Path string
	Err  error
}

// Error implements error.
func (e *FileError) Error() string { return "settings " + e.Path + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *FileError) Unwrap() error { return e.Err }

// InvalidError reports all faults of a settings file, at least one.
type InvalidError struct {
	Path   string
	Faults []Fault
}

// Error implements error. It returns one line for each fault.
func (e *InvalidError) Error() string {
	lines := make([]string, 0, len(e.Faults))
	for _, f := range e.Faults {
		lines = append(lines, e.Path+": "+f.String())
	}
	return strings.Join(lines, "\n")
}
