package audit

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/balsamford/balsamford/coord/store"
)

const (
	// Table is the platform's table that holds the trail.
	Table = "audit"
	// tries is how often a record that is written alone is tried.
	tries = 3
	day   = 24 * time.Hour
)

// Platform is what a Log needs of the platform; a *store.Client and a
// *store.Memory are one.
type Platform interface {
	Get(ctx context.Context, table, key string) (store.Row, error)
	Scan(ctx context.Context, table, prefix string) ([]store.Row, error)
	Commit(ctx context.Context, ops []store.Op) error
}

// Log reads and writes the trail. It may be used concurrently.
type Log struct{ platform Platform }

// New returns a Log on a platform.
func New(p Platform) *Log { return &Log{platform: p} }

// Op returns the part of a transaction that writes r. The transaction fails
// with a *store.ConflictError if there is a record with that id already.
func (l *Log) Op(r Record) store.Op {
	value, err := json.Marshal(r)
	if err != nil {
		// A record holds nothing that can't be written.
		value = []byte(`{"id":"` + r.ID + `"}`)
	}
	return store.Op{Table: Table, Key: r.ID, Value: value, Action: store.Put}
}

// Write writes r alone. The same record may be written again; the error is
// a *store.UnavailableError, after which it may or may not be there.
func (l *Log) Write(ctx context.Context, r Record) error {
	var err error
	for range tries {
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

// Record returns the record of that id, or a *store.MissingError.
func (l *Log) Record(ctx context.Context, id string) (Record, error) {
	row, err := l.platform.Get(ctx, Table, id)
	if err != nil {
		return Record{}, err
	}
	return decode(row)
}

// Query returns the records that q asks for, the newest first.
func (l *Log) Query(ctx context.Context, q Query) ([]Record, error) {
	var out []Record
	for at := q.last(); !at.Before(q.first()); at = at.Add(-day) {
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

// FormError reports a row that is no record.
type FormError struct {
	ID  string
	Err error
}

// Error implements error.
func (e *FormError) Error() string { return "audit record " + e.ID + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *FormError) Unwrap() error { return e.Err }
