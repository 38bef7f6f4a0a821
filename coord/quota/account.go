package quota

import (
	"context"
	"encoding/json"
	"errors"
	"strconv"

	"github.com/fxamacker/cbor/v2"

	"github.com/balsamford/balsamford/coord/config"
	"github.com/balsamford/balsamford/coord/parts"
	"github.com/balsamford/balsamford/coord/store"
)

// settleTeam writes a team's limit to its account unless it is there already.
// It returns an empty string once the allocated parts fit the limit, otherwise
// a description of what is missing.
func (k *Keeper) settleTeam(ctx context.Context, version uint64, team string, limit parts.Bound) (wait string, err error) {
	a, err := k.account(ctx, team)
	if err != nil {
		return "", err
	}
	if a == nil || a.Bound() != limit {
		guard, err := k.guard(ctx, version)
		if err != nil {
			return "", err
		}
		if _, err := parts.SetLimit(ctx, guard, team, limit, k.zones); err != nil {
			return "", err
		}
		if a, err = k.account(ctx, team); err != nil {
			return "", err
		}
	}
	if a == nil || a.Bound() != limit || !a.Accepted() {
		return "team " + team + " to give back parts above its limit of " + limit.String(), nil
	}
	return "", nil
}

// account returns a team's account, or nil if there is none.
func (k *Keeper) account(ctx context.Context, team string) (*parts.Account, error) {
	row, err := k.platform.Get(ctx, parts.TableName, team)
	var missing *store.MissingError
	if errors.As(err, &missing) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	a := new(parts.Account)
	if err := cbor.Unmarshal(row.Value, a); err != nil {
		return nil, &parts.RowError{Team: team, Err: err}
	}
	return a, nil
}

// guard returns the platform's table with a condition added to each write: the
// configuration head must still be at the version. It returns a *MovedError if
// the head has moved on already.
func (k *Keeper) guard(ctx context.Context, version uint64) (parts.Table, error) {
	row, err := k.platform.Get(ctx, config.Table, config.KeyHead)
	if err != nil {
		return nil, err
	}
	var head config.Head
	if err := json.Unmarshal(row.Value, &head); err != nil {
		return nil, &config.FormError{Key: config.KeyHead, Err: err}
	}
	if head.Version != version {
		return nil, &MovedError{Version: version}
	}
	check := store.Op{Table: config.Table, Key: config.KeyHead, Expect: row.Version, Action: store.Check}
	return &guarded{Table: k.platform, check: check, version: version}, nil
}

// guarded adds the operation check to each transaction of a table.
type guarded struct {
	parts.Table
	check   store.Op
	version uint64
}

// Commit implements parts.Table. It returns a *MovedError if the check fails.
func (g *guarded) Commit(ctx context.Context, ops []store.Op) error {
	err := g.Table.Commit(ctx, append([]store.Op{g.check}, ops...))
	var conflict *store.ConflictError
	if errors.As(err, &conflict) && conflict.Table == config.Table {
		return &MovedError{Version: g.version}
	}
	return err
}

// MovedError reports that Version is no longer the newest configuration
// version. Its limits were not written.
type MovedError struct{ Version uint64 }

// Error implements error.
func (e *MovedError) Error() string {
	return "version " + strconv.FormatUint(e.Version, 10) + " is no longer the newest"
}
