package parts

import (
	"context"
	"errors"

	"github.com/fxamacker/cbor/v2"

	"github.com/balsamford/balsamford/coord/store"
)

// Table is the part of the platform's table that holders use.
type Table interface {
	Get(ctx context.Context, table, key string) (store.Row, error)
	Commit(ctx context.Context, ops []store.Op) error
}

// TableName is the table of accounts; the key is the team's name.
const TableName = "limit"

// read returns an account and its version, 0 if there is none yet.
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

func write(ctx context.Context, t Table, team string, a *Account, version uint64) error {
	value, err := cbor.Marshal(a)
	if err != nil {
		return &RowError{Team: team, Err: err}
	}
	return t.Commit(ctx, []store.Op{{Table: TableName, Key: team, Expect: version, Value: value, Action: store.Put}})
}

// change reads an account, changes it and writes it, again after a conflict.
// f has to be idempotent, because a write whose answer is lost is repeated
// by the caller.
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

// standingParts is into how many halves of a zone's even share the standing
// part goes.
const standingParts = 2

// SetLimit sets a team's upper limit and the standing parts of its zones: half
// of an even share each. It reports whether the limit is accepted, that is
// whether the parts handed out fit under it; if not, ask again with Accepted.
func SetLimit(ctx context.Context, t Table, team string, limit Bound, zones []string) (accepted bool, err error) {
	a, err := change(ctx, t, team, func(a *Account) {
		a.Limit, a.Dims = limit.Dims.only(limit.Most), limit.Dims
		if a.Dims == DimsOf(Tasks) {
			a.Dims = 0
		}
		for _, name := range zones {
			z := a.zone(name)
			z.Standing = a.Limit.Over(int64(len(zones) * standingParts))
			left := Amount{}.Sub(a.over())
			z.Part = z.Part.Add(z.Standing.Sub(z.Part).least(left).most(Amount{}))
		}
		for _, z := range a.Zones {
			a.shrink(z) // A zone without placers returns nothing by itself.
		}
	})
	if err != nil {
		return false, err
	}
	return a.Accepted(), nil
}

// Accepted reports whether the parts handed out fit under a team's limit.
func Accepted(ctx context.Context, t Table, team string) (bool, error) {
	a, _, err := read(ctx, t, team)
	if err != nil {
		return false, err
	}
	return a.Accepted(), nil
}

// Bury takes a dead holder out of a team's account. It may be called only
// once living holders have adopted all tasks that run on its endpoints, and it
// can start no other. The names are those of all living holders of the zone:
// any of them may run tasks that the dead one passed on, so each must be in
// the account first, or an *AbsentError is returned. The dead holder's part
// is free when each holder has recorded itself in the new round.
func Bury(ctx context.Context, t Table, team, zone, holder string, living []string) error {
	var absent error
	_, err := change(ctx, t, team, func(a *Account) {
		z := a.zone(zone)
		absent = nil
		for _, name := range living {
			if !z.knows(name) {
				absent = &AbsentError{Team: team, Holder: name}
				return
			}
		}
		if z.Holders[holder] != nil || !z.knows(holder) {
			z.bury(holder)
		}
	})
	if absent != nil {
		return absent
	}
	return err
}
