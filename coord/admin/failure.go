package admin

import (
	"github.com/balsamford/balsamford/coord/config"
)

// Failure is the answer to a request that didn't do what it was to do.
type Failure struct {
	Code     Code                  `json:"code"`
	Text     string                `json:"text"`
	ID       string                `json:"id,omitempty"` // of the publish
	Faults   []config.Fault        `json:"faults,omitempty"`
	Conflict *config.ConflictError `json:"conflict,omitempty"`
	Progress *config.Progress      `json:"progress,omitempty"`
}

// Error implements error.
func (f *Failure) Error() string { return f.Text }

// Code says what kind of failure it is.
type Code string

// The codes, with the HTTP status that carries them.
const (
	CodeInvalid     Code = "invalid"     // 400: the objects are wrong; see Faults
	CodeRequest     Code = "request"     // 400: the request can't be understood
	CodeKey         Code = "key"         // 401: no operator's key that is in force
	CodeMissing     Code = "missing"     // 404: no such version, object or path
	CodeConflict    Code = "conflict"    // 409: another publish came first; see Conflict
	CodeStale       Code = "stale"       // 503: this host's configuration is not confirmed
	CodeUnavailable Code = "unavailable" // 503: the platform doesn't answer; nothing was done
	CodeUnknown     Code = "unknown"     // 504: the platform's answer was lost; ask again with the same id
	CodeWaiting     Code = "waiting"     // 200: published, and not known to be in force everywhere
)
