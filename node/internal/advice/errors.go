package advice

import (
	"errors"
	"net/http"
	"time"

	"github.com/balsamford/balsamford/coord/link"
	"github.com/balsamford/balsamford/platform"
)

// BusyError reports that all hosts have too many requests to the adviser queued.
type BusyError struct{}

// Error implements error.
func (e *BusyError) Error() string { return "all hosts have too many queued requests to the adviser" }

// backoff returns how long a host gets no requests after an error. It is 0 if the request itself
// was refused, since another host would fare no better.
func backoff(err error) time.Duration {
	var refused *platform.RefusedError
	var remote *link.RemoteError
	switch {
	case errors.As(err, &refused) && refused.Overload():
		return busyBackoff
	case errors.As(err, &refused) && refused.Status < http.StatusInternalServerError:
		return 0
	case errors.As(err, &remote) && remote.Code == codeBusy:
		return busyBackoff
	case errors.As(err, &remote) && remote.Code == codeRefused:
		return 0
	}
	return failureBackoff
}

// Codes of the errors that a host reports of its call to the adviser.
const (
	codeBusy    = "busy"    // too many calls wait
	codeRefused = "refused" // the request itself was refused
	codeFailed  = "failed"
)

// errorCode returns the code for an error of a call to the adviser.
func errorCode(err error) string {
	d := backoff(err)
	if d == 0 {
		return codeRefused
	}
	if d == busyBackoff {
		return codeBusy
	}
	return codeFailed
}
