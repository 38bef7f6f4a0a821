package audit

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/balsamford/balsamford/coord/store"
)

const (
	// Table is the platform table that stores the records.
	Table = "audit"
	// maxAttempts is the number of attempts of Log.Write.
	maxAttempts = 3
	day         = 24 * time.Hour
)

// Platform is the part of the platform that a Log uses. *store.Client and
// *store.Memory implement it.
type Platform interface {
	Get(ctx context.Context, table, key string) (store.Row, error)
	Scan(ctx context.Context, table, prefix string) ([]store.Row, error)
	Commit(ctx context.Context, ops []store.Op) error
}

// Log reads and writes audit records. Its methods may be called concurrently.
type Log struct{ platform Platform }

// New returns a Log that stores its records on p.
func New(p Platform) *Log { return &Log{platform: p} }

// Op returns the operation that writes r, for use in a transaction. The
// transaction fails with a *store.ConflictError if a record with that ID exists.
func (l *Log) Op(r Record) store.Op {
	value, err := json.Marshal(r)
	if err != nil {
		// Only a time that JSON can't represent fails to encode.
		value = []byte(`{"id":"` + r.ID + `"}`)
	}
	return store.Op{Table: Table, Key: r.ID, Value: value, Action: store.Put}
}

// Write writes r in a transaction of its own and retries failures. It is
// idempotent: it succeeds if a record with that ID exists. After an error, a
// *store.UnavailableError, it is unknown whether the record was written.
func (l *Log) Write(ctx context.Context, r Record) error {
	var err error
	for range maxAttempts {
		err = l.platform.Commit(ctx, []store.Op{l.Op(r)})
		var conflict *store.ConflictError
		if err == nil || errors.As(err, &conflict) {
			return nil
		}
		if ctx.Err() != nil {
			return err
		}
	}
	return err
}

// Record returns the record with that ID. The error is a *store.MissingError, a
// *store.UnavailableError or a *FormError.
func (l *Log) Record(ctx context.Context, id string) (Record, error) {
	row, err := l.platform.Get(ctx, Table, id)
	if err != nil {
		return Record{}, err
	}
	return decode(row)
}

// Query returns the records that match q, newest first. It scans the table one
// day at a time. The error is a *store.UnavailableError or a *FormError.
func (l *Log) Query(ctx context.Context, q Query) ([]Record, error) {
	var out []Record
	for at := q.lastDay(); !at.Before(q.firstDay()); at = at.Add(-day) {
		rows, err := l.platform.Scan(ctx, Table, at.Format(dayLayout))
		if err != nil {
			return nil, err
		}
		for i := len(rows) - 1; i >= 0; i-- {
			r, err := decode(rows[i])
			if err != nil {
				return nil, err
			}
			if !q.matches(r) {
				continue
			}
			out = append(out, r)
			if len(out) == q.Most {
				return out, nil
			}
		}
	}
	return out, nil
}

func decode(row store.Row) (Record, error) {
	var r Record
	if err := json.Unmarshal(row.Value, &r); err != nil {
		return Record{}, &FormError{ID: row.Key, Err: err}
	}
	return r, nil
}

// FormError reports a row that can't be decoded as a record.
type FormError struct {
	ID  string
	Err error
}

// Error implements error.
func (e *FormError) Error() string { return "audit record " + e.ID + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *FormError) Unwrap() error { return e.Err }
