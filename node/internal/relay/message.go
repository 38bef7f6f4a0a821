package relay

import (
	"errors"
	"time"

	"github.com/balsamford/balsamford/platform"
)

// question is a call of the store that another host is asked to make; the field
// that is set says which.
type question struct {
	Write *platform.Write `cbor:"1,keyasint,omitempty"`
	Read  *read           `cbor:"2,keyasint,omitempty"`
	Watch *watch          `cbor:"3,keyasint,omitempty"`
}

type read struct {
	Table string `cbor:"1,keyasint"`
	Part  string `cbor:"2,keyasint"`
	From  string `cbor:"3,keyasint,omitempty"`
	To    string `cbor:"4,keyasint,omitempty"`
}

type watch struct {
	Table string        `cbor:"1,keyasint"`
	After int64         `cbor:"2,keyasint"`
	Wait  time.Duration `cbor:"3,keyasint"`
}

// outcome is how a call of the store ended.
type outcome int

const (
	done     outcome = iota
	conflict         // the condition of a write didn't hold
	forgot           // the history that was asked for is gone
	refused          // the store did nothing, or the host has no way to it
	unknown          // nobody knows whether it was done
)

// answer is what came of it.
type answer struct {
	Outcome outcome        `cbor:"1,keyasint,omitempty"`
	Version int64          `cbor:"2,keyasint,omitempty"`
	Rows    []platform.Row `cbor:"3,keyasint,omitempty"`
	Status  int            `cbor:"4,keyasint,omitempty"` // HTTP status of a refusal
}

// answerOf puts the result of a call into an answer.
func answerOf(rows []platform.Row, version int64, err error) answer {
	var clash *platform.ConflictError
	var history *platform.HistoryError
	var no *platform.RefusedError
	var dial *platform.DialError
	switch {
	case err == nil:
		return answer{Rows: rows, Version: version}
	case errors.As(err, &clash):
		return answer{Outcome: conflict, Rows: clash.Rows}
	case errors.As(err, &history):
		return answer{Outcome: forgot}
	case errors.As(err, &no):
		return answer{Outcome: refused, Status: no.Status}
	case errors.As(err, &dial):
		return answer{Outcome: refused}
	}
	return answer{Outcome: unknown}
}

// final reports whether the store itself has settled the call.
func (a *answer) final() bool { return a.Outcome <= forgot }

// error returns the failure that a final answer stands for, nil for none.
func (a *answer) error(q *question) error {
	switch a.Outcome {
	case conflict:
		return &platform.ConflictError{Rows: a.Rows}
	case forgot:
		return &platform.HistoryError{Table: q.Watch.table()}
	case done, refused, unknown:
	}
	return nil
}

func (w *watch) table() string {
	if w == nil {
		return ""
	}
	return w.Table
}
