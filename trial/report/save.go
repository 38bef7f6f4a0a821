package report

import (
	"encoding/json"
	"os"
	"path/filepath"

	"github.com/balsamford/balsamford/trial/judge"
)

// Save writes r to the file record.json in dir, so that violations can be
// investigated. The error is a *SaveError.
func Save(dir string, r *judge.Record) error {
	data, err := json.MarshalIndent(r, "", " ")
	if err == nil {
		err = os.WriteFile(filepath.Join(dir, "record.json"), data, 0o600)
	}
	if err != nil {
		return &SaveError{Dir: dir, Err: err}
	}
	return nil
}

// SaveError reports a record that can't be written.
type SaveError struct {
	Dir string
	Err error
}

// Error implements error.
func (e *SaveError) Error() string { return "record in " + e.Dir + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *SaveError) Unwrap() error { return e.Err }
