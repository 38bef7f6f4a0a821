package record

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/balsamford/balsamford/coord/store"
)

const (
	// pruneGroups bounds the transactions of one round, those that are tried
	// again after a conflict included.
	pruneGroups = 16
	// pruneKeeps is after how many times the time that records are kept the row
	// of a claim is removed: the outcome comes within one of the claim, because
	// that is above the longest deadline, and is kept for another.
	pruneKeeps = 2
)

// pruneWait returns the time until this host's next round. It grows with the
// zone's hosts, so that each zone is read about once in the time that records
// are kept, and varies, so that hosts seldom do it at once.
func (k *Keeper) pruneWait() time.Duration {
	hosts := 0
	for _, h := range k.ring.hosts {
		if h.Zone == k.self.Zone {
			hosts++
		}
	}
	mean := k.keep * time.Duration(max(hosts, 1))
	return mean/2 + rand.N(mean) //nolint:gosec // Jitter needs no secrecy.
}

// Prune removes the zone's old claims from the platform's table, whoever wrote
// them: a host that was replaced has forgotten its own. A row goes only in the
// version that was read as old, so a claim that was made meanwhile stays, and
// a lost answer or another host's round does no harm. What a failure or the
// bound leaves is for a later round.
//
// An id doesn't become new by this: an issued one is refused by its age, and a
// caller's own one is new again once its records are no longer kept, which was
// before.
func (k *Keeper) Prune(ctx context.Context) {
	ops := k.oldRows(ctx)
	for n := 0; n < pruneGroups && len(ops) > 0; n++ {
		group := ops[:min(len(ops), batchSize)]
		err := k.remove(ctx, group)
		var conflict *store.ConflictError
		switch {
		case err == nil:
			k.counts.pruned.Inc(int64(len(group)))
			ops = ops[len(group):]
		case errors.As(err, &conflict) && conflict.Row.Version > 0:
			ops = without(ops, conflict.Row.Key)
		default: // The platform is away, or another host is at it.
			return
		}
	}
}

// oldRows returns the removals of the zone's old rows, in a random order, so
// that two hosts that prune at once seldom meet.
func (k *Keeper) oldRows(ctx context.Context) []store.Op {
	ctx, cancel := k.within(ctx)
	defer cancel()
	rows, err := k.table.Scan(ctx, claimTable, k.self.Zone+"/")
	if err != nil {
		return nil
	}
	old := k.clock.Now().Add(-pruneKeeps*k.keep - clockSkew).Unix()
	var ops []store.Op
	for _, row := range rows {
		var n Note
		if err := cbor.Unmarshal(row.Value, &n); err == nil && n.At < old {
			ops = append(ops, store.Op{Table: claimTable, Key: row.Key, Expect: row.Version, Action: store.Delete})
		}
	}
	rand.Shuffle(len(ops), func(i, j int) { ops[i], ops[j] = ops[j], ops[i] }) //nolint:gosec // Jitter needs no secrecy.
	return ops
}

func (k *Keeper) remove(ctx context.Context, ops []store.Op) error {
	ctx, cancel := k.within(ctx)
	defer cancel()
	return k.table.Commit(ctx, ops)
}

// without returns ops without the one on a row that has changed.
func without(ops []store.Op, key string) []store.Op {
	out := make([]store.Op, 0, len(ops))
	for _, op := range ops {
		if op.Key != key {
			out = append(out, op)
		}
	}
	return out
}
