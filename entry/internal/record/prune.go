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
	// maxPruneCommits is the maximum number of transactions in one call of Prune,
	// including retries after a conflict.
	maxPruneCommits = 16
	// pruneRetentions is the age at which the row of a claim is removed, in
	// retention times. The retention time exceeds the longest deadline, so the
	// outcome arrives within one retention time and is kept for another.
	pruneRetentions = 2
)

// nextPruneDelay returns the time until this host's next call of Prune. It is
// proportional to the number of hosts in the zone, so that each zone's rows are
// read about once per retention time, and has jitter, so that hosts seldom prune
// at the same time.
func (k *Keeper) nextPruneDelay() time.Duration {
	hosts := 0
	for _, h := range k.ring.hosts {
		if h.Zone == k.self.Zone {
			hosts++
		}
	}
	mean := k.retention * time.Duration(max(hosts, 1))
	return mean/2 + rand.N(mean) //nolint:gosec // Jitter needs no secrecy.
}

// Prune removes the zone's old claims from the platform's table. It includes the
// rows of other hosts, because a restarted host has no record of the rows that it
// wrote. Each delete is conditional on the version that was read, so a newer claim
// remains, and neither a lost answer nor another host's Prune does any harm. The
// next call removes what is left after a failure or after maxPruneCommits.
//
// Removing a row doesn't allow a second run of its id: an issued id is refused
// because of its age, and a caller-supplied id may already be used again, since
// its records have expired.
func (k *Keeper) Prune(ctx context.Context) {
	ops := k.expiredRowDeletes(ctx)
	for n := 0; n < maxPruneCommits && len(ops) > 0; n++ {
		group := ops[:min(len(ops), maxBatchOps)]
		err := k.commitDeletes(ctx, group)
		var conflict *store.ConflictError
		switch {
		case err == nil:
			k.counters.pruned.Inc(int64(len(group)))
			ops = ops[len(group):]
		case errors.As(err, &conflict) && conflict.Row.Version > 0:
			ops = without(ops, conflict.Row.Key)
		default: // The platform is unavailable, or another host prunes too.
			return
		}
	}
}

// expiredRowDeletes returns the operations that delete the zone's old rows. They
// are in random order, so that two hosts that prune at the same time seldom
// conflict.
func (k *Keeper) expiredRowDeletes(ctx context.Context) []store.Op {
	ctx, cancel := k.withCallTimeout(ctx)
	defer cancel()
	rows, err := k.platform.Scan(ctx, claimTable, k.self.Zone+"/")
	if err != nil {
		return nil
	}
	old := k.clock.Now().Add(-pruneRetentions*k.retention - maxClockSkew).Unix()
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

func (k *Keeper) commitDeletes(ctx context.Context, ops []store.Op) error {
	ctx, cancel := k.withCallTimeout(ctx)
	defer cancel()
	return k.platform.Commit(ctx, ops)
}

// without returns ops without the operation on the row with the given key.
func without(ops []store.Op, key string) []store.Op {
	out := make([]store.Op, 0, len(ops))
	for _, op := range ops {
		if op.Key != key {
			out = append(out, op)
		}
	}
	return out
}
