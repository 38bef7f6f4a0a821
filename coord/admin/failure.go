package admin

import (
	"github.com/balsamford/balsamford/coord/config"
)

// Failure is the response to a request that failed.
type Failure struct {
	Code     Code                  `json:"code"`
	Text     string                `json:"text"`         // for people
	ID       string                `json:"id,omitempty"` // of the publish
	Faults   []config.Fault        `json:"faults,omitempty"`
	Conflict *config.ConflictError `json:"conflict,omitempty"`
	Progress *config.Progress      `json:"progress,omitempty"`
}

// Error implements error.
func (f *Failure) Error() string { return f.Text }

// Code is the kind of a Failure.
type Code string

// The codes, with their HTTP status.
const (
	CodeInvalid     Code = "invalid"     // 400: the objects are invalid; see Faults
	CodeRequest     Code = "request"     // 400: the request is malformed
	CodeKey         Code = "key"         // 401: no valid operator key
	CodeMissing     Code = "missing"     // 404: no such version, object or path
	CodeConflict    Code = "conflict"    // 409: another publish came first; see Conflict
	CodeStale       Code = "stale"       // 503: this host's configuration may be out of date
	CodeUnavailable Code = "unavailable" // 503: the platform is unavailable; the request had no effect
	CodeUnknown     Code = "unknown"     // 504: unknown outcome, the platform's response was lost; retry with the same ID
	CodeWaiting     Code = "waiting"     // 200: published, but not confirmed by all hosts
)
