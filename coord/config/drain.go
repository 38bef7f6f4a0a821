package config

import (
	"context"
	"encoding/json"
	"time"

	"github.com/balsamford/balsamford/coord/audit"
	"github.com/balsamford/balsamford/coord/store"
)

// TableDrain is the platform's table of hosts and endpoints that get no new
// work; the keys are their names, the rows Drains in JSON.
const TableDrain = "drain"

// Drain says that a host or an endpoint is to get no new work.
type Drain struct {
	Host   string    `json:"host"`
	Author string    `json:"author"`
	Door   string    `json:"door,omitempty"` // host of the operators' door that was asked
	When   time.Time `json:"when"`
	Note   string    `json:"note,omitempty"`
}

// SetDrain puts a host or endpoint under a drain, with the audit record in the
// same transaction. The error is the platform's; after an answer that was lost
// the same call may be made again with the same id.
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

// EndDrain takes a host or endpoint out of its drain, as SetDrain puts it
// there.
func EndDrain(ctx context.Context, p audit.Platform, id string, d Drain) error {
	r := audit.Record{ID: id, When: d.When.UTC(), Who: d.Author, Host: d.Door, Action: audit.Resume, Verdict: audit.Accepted, Object: d.Host, Detail: d.Note}
	return commitOnce(ctx, p, id, []store.Op{
		{Table: TableDrain, Key: d.Host, Expect: store.Any, Action: store.Delete},
		audit.New(p).Op(r),
	})
}

// once commits ops, one of which writes the record of that id. A conflict
// means that they took effect before.
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

// Drains returns all drains by host.
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
