package record

import (
	"context"
	"errors"

	"github.com/fxamacker/cbor/v2"

	"github.com/balsamford/balsamford/coord/store"
)

const (
	// claimTable is the platform table of claims.
	claimTable = "claim"
	// bootTable is the platform table with a row for each host that has ever started.
	bootTable = "boot"
	// maxRowAttempts is the maximum number of attempts to write a row that other
	// processes change concurrently.
	maxRowAttempts = 3
)

// rowKey returns the key of a claim's row.
func (k *Keeper) rowKey(id string) string { return k.ring.Zone(id) + "/" + id }

// writeRow writes a claim to the platform. If the row has a claim that the new one
// doesn't supersede, writeRow returns that claim instead.
func (k *Keeper) writeRow(ctx context.Context, claim Note) (*Note, error) {
	ctx, cancel := k.withCallTimeout(ctx)
	defer cancel()
	value, err := cbor.Marshal(claim)
	if err != nil {
		return nil, &RowError{Key: claim.ID, Err: err}
	}
	k.setMayHaveRow(claim.ID)
	op := store.Op{Table: claimTable, Key: k.rowKey(claim.ID), Action: store.Put, Value: value}
	for range maxRowAttempts {
		err = k.batcher.commit(ctx, op)
		var conflict *store.ConflictError
		if !errors.As(err, &conflict) {
			return k.resolveRow(ctx, claim, op.Key, err)
		}
		row, err := k.platform.Get(ctx, claimTable, op.Key)
		if err != nil {
			return nil, err
		}
		var found Note
		if err := cbor.Unmarshal(row.Value, &found); err != nil {
			return nil, &RowError{Key: op.Key, Err: err}
		}
		if !supersedes(&claim, &found) {
			return &found, nil
		}
		if found.sameClaim(&claim) && found.Run == claim.Run {
			return nil, nil
		}
		op.Expect = row.Version
	}
	return nil, err
}

// resolveRow handles the result of a write. If the outcome of the write is
// unknown, it reads the row to find out whose claim was stored.
func (k *Keeper) resolveRow(ctx context.Context, claim Note, key string, err error) (*Note, error) {
	var unavailable *store.UnavailableError
	if err == nil || !errors.As(err, &unavailable) || unavailable.Unsent {
		return nil, err
	}
	row, readErr := k.platform.Get(ctx, claimTable, key)
	if readErr != nil {
		return nil, err
	}
	var found Note
	if decodeErr := cbor.Unmarshal(row.Value, &found); decodeErr != nil {
		return nil, &RowError{Key: key, Err: decodeErr}
	}
	if found.sameClaim(&claim) && found.Run == claim.Run {
		return nil, nil
	}
	return &found, nil
}

// supersedes reports whether a claim may replace an earlier one: the same process
// claims again, an idempotent request is taken over, or the earlier run has ended
// and may be repeated.
func supersedes(claim, found *Note) bool {
	if found.sameClaim(claim) && !found.Ended() {
		return claim.Run >= found.Run
	}
	if !claim.Once && !found.Ended() {
		return claim.Run > found.Run // takeover from an unreachable process
	}
	return found.Ended() && mayRerun(found) && claim.Run > found.Run
}

// setMayHaveRow records that the platform may have a row for the claim.
func (k *Keeper) setMayHaveRow(id string) {
	sh := k.shard(id)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if e := sh.entries[id]; e != nil {
		e.mayHaveRow = true
	}
}

// publishOutcome sends an outcome to the other holder and, if row is set, writes
// it to the row of the claim.
func (k *Keeper) publishOutcome(n Note, row bool) {
	k.sendOutcome(n)
	if !row {
		return
	}
	ctx, cancel := k.withCallTimeout(context.Background())
	defer cancel()
	k.updateRow(ctx, &n, func(version uint64) (store.Op, bool) {
		value, err := cbor.Marshal(n)
		return store.Op{Table: claimTable, Key: k.rowKey(n.ID), Expect: version, Action: store.Put, Value: value}, err == nil
	})
}

// updateRow commits a change to the row of a claim, unless the row has another
// claim by now.
func (k *Keeper) updateRow(ctx context.Context, n *Note, change func(version uint64) (store.Op, bool)) {
	row, err := k.platform.Get(ctx, claimTable, k.rowKey(n.ID))
	if err != nil {
		return
	}
	var found Note
	if cbor.Unmarshal(row.Value, &found) != nil || !found.sameClaim(n) || found.Run != n.Run {
		return
	}
	if op, ok := change(row.Version); ok {
		_ = k.batcher.commit(ctx, op)
	}
}
