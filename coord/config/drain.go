package config

import (
	"context"
	"encoding/json"
	"time"

	"github.com/balsamford/balsamford/coord/audit"
	"github.com/balsamford/balsamford/coord/store"
)

// TableDrain is the platform's table of draining hosts and endpoints, which get
// no new work. The keys are their names, the values Drains in JSON.
const TableDrain = "drain"

// Drain marks a host or an endpoint, named by Host, as draining: it gets no new
// work.
type Drain struct {
	Host   string    `json:"host"`
	Author string    `json:"author"`
	Door   string    `json:"door,omitempty"` // host whose operators' API received the request
	When   time.Time `json:"when"`
	Note   string    `json:"note,omitempty"`
}

// SetDrain starts draining a host or an endpoint. The audit record with that ID
// is written in the same transaction. The error is a *FormError or the
// platform's; after a lost reply the call may be repeated with the same ID.
func SetDrain(ctx context.Context, p audit.Platform, id string, d Drain) error {
	value, err := json.Marshal(d)
	if err != nil {
		return &FormError{Key: d.Host, Err: err}
	}
	r := audit.Record{ID: id, When: d.When.UTC(), Who: d.Author, Host: d.Door, Action: audit.Drain, Verdict: audit.Accepted, Object: d.Host, Detail: d.Note}
	return commitOnce(ctx, p, id, []store.Op{
		{Table: TableDrain, Key: d.Host, Expect: store.Any, Value: value, Action: store.Put},
		audit.New(p).Op(r),
	})
}

// EndDrain ends a drain, with an audit record and errors as for SetDrain.
func EndDrain(ctx context.Context, p audit.Platform, id string, d Drain) error {
	r := audit.Record{ID: id, When: d.When.UTC(), Who: d.Author, Host: d.Door, Action: audit.Resume, Verdict: audit.Accepted, Object: d.Host, Detail: d.Note}
	return commitOnce(ctx, p, id, []store.Op{
		{Table: TableDrain, Key: d.Host, Expect: store.Any, Action: store.Delete},
		audit.New(p).Op(r),
	})
}

// commitOnce commits ops, one of which writes the audit record with that ID. If
// the commit fails but the record exists, an earlier attempt took effect, and
// commitOnce returns nil.
func commitOnce(ctx context.Context, p audit.Platform, id string, ops []store.Op) error {
	err := p.Commit(ctx, ops)
	if err == nil {
		return nil
	}
	if _, found := audit.New(p).Record(ctx, id); found == nil {
		return nil
	}
	return err
}

// Drains returns all drains, sorted by the name of the host or endpoint. The
// error is the platform's, or a *FormError if a row can't be decoded.
func Drains(ctx context.Context, p audit.Platform) ([]Drain, error) {
	rows, err := p.Scan(ctx, TableDrain, "")
	if err != nil {
		return nil, err
	}
	out := make([]Drain, 0, len(rows))
	for _, row := range rows {
		var d Drain
		if err := json.Unmarshal(row.Value, &d); err != nil {
			return nil, &FormError{Key: row.Key, Err: err}
		}
		out = append(out, d)
	}
	return out, nil
}
