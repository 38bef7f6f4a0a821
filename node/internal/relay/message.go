package relay

import (
	"errors"
	"time"

	"github.com/balsamford/balsamford/platform"
)

// request is a call to the store that is forwarded to another host. Exactly one field is
// set.
type request struct {
	Write *platform.Write `cbor:"1,keyasint,omitempty"`
	Read  *readRequest    `cbor:"2,keyasint,omitempty"`
	Watch *watchRequest   `cbor:"3,keyasint,omitempty"`
}

// describe returns the kind of the call and, except for writes, the table.
func (r *request) describe() (kind, table string) {
	switch {
	case r.Write != nil:
		return "write", ""
	case r.Read != nil:
		return "read", r.Read.Table
	case r.Watch != nil:
		return "watch", r.Watch.Table
	}
	return "none", ""
}

type readRequest struct {
	Table string `cbor:"1,keyasint"`
	Part  string `cbor:"2,keyasint"`
	From  string `cbor:"3,keyasint,omitempty"`
	To    string `cbor:"4,keyasint,omitempty"`
}

type watchRequest struct {
	Table string        `cbor:"1,keyasint"`
	After int64         `cbor:"2,keyasint"`
	Wait  time.Duration `cbor:"3,keyasint"`
}

// outcome is the result of a call to the store. It is sent between hosts as a number, so
// the order of the values must not change.
type outcome int

const (
	done        outcome = iota
	conflict            // a condition of the write didn't hold
	historyLost         // the store no longer has the changes that were watched for
	refused             // the store did nothing, or the host has no direct access to it
	unknown             // in doubt: the call may have been carried out
)

// response is the result of a request.
type response struct {
	Outcome outcome        `cbor:"1,keyasint,omitempty"`
	Version int64          `cbor:"2,keyasint,omitempty"`
	Rows    []platform.Row `cbor:"3,keyasint,omitempty"`
	Status  int            `cbor:"4,keyasint,omitempty"` // HTTP status of a refusal
}

// responseOf converts the result of a call to the store into a response.
func responseOf(rows []platform.Row, version int64, err error) response {
	var conflictErr *platform.ConflictError
	var history *platform.HistoryError
	var refusal *platform.RefusedError
	var dial *platform.DialError
	switch {
	case err == nil:
		return response{Rows: rows, Version: version}
	case errors.As(err, &conflictErr):
		return response{Outcome: conflict, Rows: conflictErr.Rows}
	case errors.As(err, &history):
		return response{Outcome: historyLost}
	case errors.As(err, &refusal):
		return response{Outcome: refused, Status: refusal.Status}
	case errors.As(err, &dial):
		return response{Outcome: refused}
	}
	return response{Outcome: unknown}
}

// final reports whether the store has decided the call: by success, a conflict or lost
// history. Calls with other outcomes may be repeated through another host.
func (r *response) final() bool { return r.Outcome <= historyLost }

// error returns the error that a final response stands for, nil for success.
func (r *response) error(req *request) error {
	switch r.Outcome {
	case conflict:
		return &platform.ConflictError{Rows: r.Rows}
	case historyLost:
		return &platform.HistoryError{Table: req.Watch.table()}
	case done, refused, unknown:
	}
	return nil
}

func (r *watchRequest) table() string {
	if r == nil {
		return ""
	}
	return r.Table
}
