package shell

import (
	"context"
	"errors"

	"github.com/balsamford/balsamford/balsam/internal/remote"
	"github.com/balsamford/balsamford/coord/admin"
	"github.com/balsamford/balsamford/coord/config"
	"github.com/balsamford/balsamford/coord/setup"
)

// UsageError reports an invalid command line or a missing setting.
type UsageError struct{ Text string }

// Error implements error.
func (e *UsageError) Error() string { return e.Text }

// ExitError ends a command with Code. Its response has been printed already, so it has
// no message.
type ExitError struct{ Code Code }

// Error implements error.
func (e *ExitError) Error() string { return "" }

// MissingError reports that What doesn't exist.
type MissingError struct{ What string }

// Error implements error.
func (e *MissingError) Error() string { return "there is no " + e.What }

// codeOf returns the exit code of an error.
func codeOf(err error) Code {
	var exit *ExitError
	var usage *UsageError
	var failure *admin.Failure
	var invalid *config.InvalidError
	var reach *remote.ReachError
	var file *setup.FileError
	var settings *setup.InvalidError
	var missing *MissingError
	switch {
	case err == nil:
		return OK
	case errors.As(err, &exit):
		return exit.Code
	case errors.As(err, &usage), errors.As(err, &file), errors.As(err, &settings):
		return Usage
	case errors.As(err, &failure):
		return failureCode(failure.Code)
	case errors.As(err, &invalid):
		return Invalid
	case errors.As(err, &missing):
		return Missing
	case errors.Is(err, context.Canceled):
		return Other
	case errors.As(err, &reach):
		return Unavailable
	}
	return Other
}

// failureCode returns the exit code of a failure that the operators' API reports.
func failureCode(c admin.Code) Code {
	switch c {
	case admin.CodeInvalid:
		return Invalid
	case admin.CodeRequest:
		return Usage
	case admin.CodeKey:
		return Refused
	case admin.CodeMissing:
		return Missing
	case admin.CodeConflict:
		return Conflict
	case admin.CodeStale, admin.CodeUnavailable:
		return Unavailable
	case admin.CodeUnknown:
		return Unknown
	case admin.CodeWaiting:
		return Waiting
	default:
		return Other
	}
}
