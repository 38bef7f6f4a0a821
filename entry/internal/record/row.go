package record

import (
	"context"
	"errors"

	"github.com/fxamacker/cbor/v2"

	"github.com/balsamford/balsamford/coord/store"
)

const (
	// claimTable has the claims that the platform holds.
	claimTable = "claim"
	// bootTable has a row for each host that has ever run.
	bootTable = "boot"
	// rowWrites is how often a row is tried when others change it.
	rowWrites = 3
)

// rowKey returns the key of a claim's row.
func (k *Keeper) rowKey(id string) string { return k.ring.Zone(id) + "/" + id }

// writeRow writes a claim to the platform. If the row has a claim that bars
// this one, that claim is returned.
func (k *Keeper) writeRow(ctx context.Context, claim Note) (*Note, error) {
	ctx, cancel := k.within(ctx)
	defer cancel()
	value, err := cbor.Marshal(claim)
	if err != nil {
		return nil, &NoteError{Key: claim.ID, Err: err}
	}
	k.markRow(claim.ID)
	op := store.Op{Table: claimTable, Key: k.rowKey(claim.ID), Action: store.Put, Value: value}
	for range rowWrites {
		err = k.platform.commit(ctx, op)
		var conflict *store.ConflictError
		if !errors.As(err, &conflict) {
			return k.resolveRow(ctx, claim, op.Key, err)
		}
		row, err := k.table.Get(ctx, claimTable, op.Key)
		if err != nil {
			return nil, err
		}
		var found Note
		if err := cbor.Unmarshal(row.Value, &found); err != nil {
			return nil, &NoteError{Key: op.Key, Err: err}
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

// resolveRow reads a row back whose write was not answered.
func (k *Keeper) resolveRow(ctx context.Context, claim Note, key string, err error) (*Note, error) {
	var away *store.UnavailableError
	if err == nil || !errors.As(err, &away) || away.Unsent {
		return nil, err
	}
	row, readErr := k.table.Get(ctx, claimTable, key)
	if readErr != nil {
		return nil, err
	}
	var found Note
	if decodeErr := cbor.Unmarshal(row.Value, &found); decodeErr != nil {
		return nil, &NoteError{Key: key, Err: decodeErr}
	}
	if found.sameClaim(&claim) && found.Run == claim.Run {
		return nil, nil
	}
	return &found, nil
}

// supersedes reports whether a claim may take the place of an earlier one:
// the same process claims again, or the earlier one has not run.
func supersedes(claim, found *Note) bool {
	if found.sameClaim(claim) && !found.Ended() {
		return claim.Run >= found.Run
	}
	if !claim.Once && !found.Ended() {
		return claim.Run > found.Run // taken over from a process that was lost
	}
	return found.Ended() && again(found) && claim.Run > found.Run
}

// markRow notes that a row of the claim may exist.
func (k *Keeper) markRow(id string) {
	sh := k.shard(id)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if e := sh.entries[id]; e != nil {
		e.row = true
	}
}

// tell passes an outcome on to the other holder and to the row, if any.
func (k *Keeper) tell(n Note, row bool) {
	k.tellOther(n)
	if !row {
		return
	}
	ctx, cancel := k.within(context.Background())
	defer cancel()
	k.changeRow(ctx, &n, func(version uint64) (store.Op, bool) {
		value, err := cbor.Marshal(n)
		return store.Op{Table: claimTable, Key: k.rowKey(n.ID), Expect: version, Action: store.Put, Value: value}, err == nil
	})
}

// changeRow changes the row of a claim, unless a later claim stands there.
func (k *Keeper) changeRow(ctx context.Context, n *Note, change func(version uint64) (store.Op, bool)) {
	row, err := k.table.Get(ctx, claimTable, k.rowKey(n.ID))
	if err != nil {
		return
	}
	var found Note
	if cbor.Unmarshal(row.Value, &found) != nil || !found.sameClaim(n) || found.Run != n.Run {
		return
	}
	if op, ok := change(row.Version); ok {
		_ = k.platform.commit(ctx, op)
	}
}
