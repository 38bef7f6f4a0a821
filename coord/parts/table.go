package parts

import (
	"context"
	"errors"

	"github.com/fxamacker/cbor/v2"

	"github.com/balsamford/balsamford/coord/store"
)

// Table is the subset of the platform's store that holders use. Get returns a
// *store.MissingError for a row that doesn't exist; Commit returns a
// *store.ConflictError if a row isn't at its expected version.
type Table interface {
	Get(ctx context.Context, table, key string) (store.Row, error)
	Commit(ctx context.Context, ops []store.Op) error
}

// TableName is the name of the table of accounts. The key is the team's name.
const TableName = "limit"

// read returns an account and the version of its row. If there is no row yet, it
// returns an empty account and 0.
func read(ctx context.Context, t Table, team string) (*Account, uint64, error) {
	a := &Account{Zones: make(map[string]*Zone)}
	row, err := t.Get(ctx, TableName, team)
	var missing *store.MissingError
	if errors.As(err, &missing) {
		return a, 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	if err := cbor.Unmarshal(row.Value, a); err != nil {
		return nil, 0, &RowError{Team: team, Err: err}
	}
	if a.Zones == nil {
		a.Zones = make(map[string]*Zone)
	}
	return a, row.Version, nil
}

// write writes an account, provided that its row is still at version.
func write(ctx context.Context, t Table, team string, a *Account, version uint64) error {
	value, err := cbor.Marshal(a)
	if err != nil {
		return &RowError{Team: team, Err: err}
	}
	return t.Commit(ctx, []store.Op{{Table: TableName, Key: team, Expect: version, Value: value, Action: store.Put}})
}

// change reads an account, applies f and writes it. It retries after a conflict.
// f has to be idempotent, because the caller repeats a write whose answer was
// lost.
func change(ctx context.Context, t Table, team string, f func(*Account)) (*Account, error) {
	for {
		a, version, err := read(ctx, t, team)
		if err != nil {
			return nil, err
		}
		f(a)
		err = write(ctx, t, team, a, version)
		var conflict *store.ConflictError
		if errors.As(err, &conflict) {
			continue
		}
		return a, err
	}
}

// standingDivisor divides a zone's even share of a limit to give its standing part.
const standingDivisor = 2

// SetLimit sets a team's upper limit and the standing part of each zone, which
// is half of an even share. It reports whether the limit is accepted, which means
// that the allocated parts fit it. If not, poll Accepted. The error is the
// platform's or a *RowError.
func SetLimit(ctx context.Context, t Table, team string, limit Bound, zones []string) (accepted bool, err error) {
	a, err := change(ctx, t, team, func(a *Account) {
		a.Limit, a.Dims = limit.Dims.only(limit.Most), limit.Dims
		if a.Dims == DimsOf(Tasks) {
			a.Dims = 0
		}
		for _, name := range zones {
			z := a.zone(name)
			z.Standing = a.Limit.Div(int64(len(zones) * standingDivisor))
			left := Amount{}.Sub(a.excess())
			z.Part = z.Part.Add(z.Standing.Sub(z.Part).min(left).max(Amount{}))
		}
		for _, z := range a.Zones {
			a.shrinkZone(z) // A zone without holders returns nothing on its own.
		}
	})
	if err != nil {
		return false, err
	}
	return a.Accepted(), nil
}

// Accepted reports whether the allocated parts fit a team's limit. The error is
// the platform's or a *RowError.
func Accepted(ctx context.Context, t Table, team string) (bool, error) {
	a, _, err := read(ctx, t, team)
	if err != nil {
		return false, err
	}
	return a.Accepted(), nil
}

// RemoveHolder removes a dead holder from a team's account. It may be called only
// once the dead holder can't start tasks any more and live holders have adopted
// all tasks on its endpoints. living lists the names of all live holders of the
// zone. Any of them may run tasks that the dead holder passed on, so each must
// have an entry in the account; otherwise RemoveHolder returns an *AbsentError.
// The dead holder's part becomes free once all holders have recorded themselves
// in the new round. Other errors are the platform's or a *RowError.
func RemoveHolder(ctx context.Context, t Table, team, zone, holder string, living []string) error {
	var absent error
	_, err := change(ctx, t, team, func(a *Account) {
		z := a.zone(zone)
		absent = nil
		for _, name := range living {
			if !z.hasSeen(name) {
				absent = &AbsentError{Team: team, Holder: name}
				return
			}
		}
		if z.Holders[holder] != nil || !z.hasSeen(holder) {
			z.remove(holder)
		}
	})
	if absent != nil {
		return absent
	}
	return err
}
