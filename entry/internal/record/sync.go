package record

import (
	"context"
	"errors"
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/balsamford/balsamford/coord/store"
)

// syncPeriod is how often a restarted host tries to learn what it has
// forgotten, and how often old records are looked for.
const syncPeriod = time.Second

// Run brings this host's records up to date after its start and removes old
// ones, until ctx ends.
func (k *Keeper) Run(ctx context.Context) error {
	tick := make(chan struct{}, 1)
	sub := k.clock.Every(syncPeriod, func() {
		select {
		case tick <- struct{}{}:
		default:
		}
	})
	defer sub.Stop()
	next := k.clock.Now().Add(k.pruneWait())
	for i := 0; ; i++ {
		k.Sync(ctx)
		if k.clock.Now().After(next) {
			next = k.clock.Now().Add(k.pruneWait())
			k.later(func() { k.Prune(ctx) })
		}
		k.sweep(&k.shards[i%shards])
		k.counts.size.Update(k.size.Load())
		select {
		case <-ctx.Done():
			return nil
		case <-tick:
		}
	}
}

// Sync does what is still to be done until this host counts as a place for
// every id: it notes its start in the platform's table, reads the claims
// there, and reads what the other hosts hold. It gives up at the first
// failure and may be called again.
func (k *Keeper) Sync(ctx context.Context) {
	if k.Complete() {
		return
	}
	if first, err := k.boot(ctx); err == nil && first {
		k.mu.Lock()
		k.first = true
		k.mu.Unlock()
		return
	}
	for _, h := range k.ring.hosts {
		if h.Name != k.self.Name && !k.isSynced(h.Name) {
			k.pull(ctx, h)
		}
	}
	k.scan(ctx)
}

// Complete reports whether this host counts as a place for every id.
func (k *Keeper) Complete() bool {
	for _, h := range k.ring.hosts {
		if h.Name != k.self.Name && !k.completeWith(h.Name) {
			return false
		}
	}
	return len(k.ring.hosts) > 1 || k.completeWith("")
}

func (k *Keeper) isSynced(name string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.synced[name]
}

// boot reports whether this process is the first that ever ran on the host.
func (k *Keeper) boot(ctx context.Context) (bool, error) {
	ctx, cancel := k.within(ctx)
	defer cancel()
	epoch := strconv.FormatUint(k.issuer.Epoch(), idBase)
	key := k.self.Zone + "/" + k.self.Name
	err := k.table.Commit(ctx, []store.Op{{Table: bootTable, Key: key, Action: store.Put, Value: []byte(epoch)}})
	if err == nil {
		return true, nil
	}
	var conflict *store.ConflictError
	if !errors.As(err, &conflict) {
		return false, err
	}
	row, err := k.table.Get(ctx, bootTable, key)
	if err != nil {
		return false, err
	}
	return string(row.Value) == epoch, nil
}

// pull reads all records that both this host and h hold.
func (k *Keeper) pull(ctx context.Context, h Host) {
	next := "0"
	complete := true
	for next != "" {
		var told Told
		if err := k.call(ctx, h, Ask{Op: opPull, From: k.self.Name, Next: next}, &told); err != nil {
			return
		}
		complete = complete && told.Complete
		for _, n := range told.Notes {
			k.learn(n)
		}
		next = told.Next
	}
	if !complete {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.synced[h.Name] = true
}

// scan reads the claims in the platform's table.
func (k *Keeper) scan(ctx context.Context) {
	ctx, cancel := k.within(ctx)
	defer cancel()
	rows, err := k.table.Scan(ctx, claimTable, "")
	if err != nil {
		return
	}
	for _, row := range rows {
		var n Note
		if err := cbor.Unmarshal(row.Value, &n); err == nil {
			k.learn(n)
		}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.scanned = true
}

// learn takes in a note that this host may have forgotten.
func (k *Keeper) learn(n Note) {
	first, second := k.ring.Holders(n.ID)
	if first.Name != k.self.Name && second.Name != k.self.Name {
		return
	}
	sh := k.shard(n.ID)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	e := sh.entries[n.ID]
	if e == nil {
		e = &entry{}
		sh.entries[n.ID] = e
		k.size.Add(1)
		k.setLocked(e, n)
		e.shared = !n.Once
		return
	}
	if !e.here && (n.Run > e.note.Run || n.sameClaim(&e.note) && n.Ended() && !e.note.Ended()) {
		k.setLocked(e, n)
	}
}

// sweep removes the records of one shard that have been kept long enough.
func (k *Keeper) sweep(sh *shard) {
	now := k.clock.Now()
	var rows []Note
	sh.mu.Lock()
	for id, e := range sh.entries {
		if e.here || now.Sub(e.since) <= k.keep {
			continue
		}
		if e.row {
			rows = append(rows, e.note)
		}
		k.kept.Add(int64(-len(e.note.Body)))
		delete(sh.entries, id)
		k.size.Add(-1)
	}
	sh.mu.Unlock()
	for _, n := range rows {
		k.later(func() { k.deleteRow(n) })
	}
}

// deleteRow removes the row of a claim that is no longer kept.
func (k *Keeper) deleteRow(n Note) {
	ctx, cancel := k.within(context.Background())
	defer cancel()
	k.changeRow(ctx, &n, func(version uint64) (store.Op, bool) {
		return store.Op{Table: claimTable, Key: k.rowKey(n.ID), Expect: version, Action: store.Delete}, true
	})
}
