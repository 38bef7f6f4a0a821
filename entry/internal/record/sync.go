package record

import (
	"context"
	"errors"
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/balsamford/balsamford/coord/store"
)

// syncInterval is the time between attempts to restore the records after a
// restart, and between removals of old records from a shard.
const syncInterval = time.Second

// Run restores this host's records after a restart and removes old records, until
// ctx ends.
func (k *Keeper) Run(ctx context.Context) error {
	tick := make(chan struct{}, 1)
	sub := k.clock.Every(syncInterval, func() {
		select {
		case tick <- struct{}{}:
		default:
		}
	})
	defer sub.Stop()
	next := k.clock.Now().Add(k.nextPruneDelay())
	for i := 0; ; i++ {
		k.Sync(ctx)
		if k.clock.Now().After(next) {
			next = k.clock.Now().Add(k.nextPruneDelay())
			k.runInBackground(func() { k.Prune(ctx) })
		}
		k.evictExpired(&k.shards[i%shardCount])
		k.counters.size.Update(k.size.Load())
		select {
		case <-ctx.Done():
			return nil
		case <-tick:
		}
	}
}

// Sync restores the records that this host lost in a restart, after which it
// counts towards the quorum for every id. It records the start in the platform's
// table, pulls the shared records from the other hosts, and reads the claims in
// the table. It skips a host or a table that doesn't answer; call it again to
// retry what is missing.
func (k *Keeper) Sync(ctx context.Context) {
	if k.Complete() {
		return
	}
	if first, err := k.markStarted(ctx); err == nil && first {
		k.mu.Lock()
		k.firstStart = true
		k.mu.Unlock()
		return
	}
	for _, h := range k.ring.hosts {
		if h.Name != k.self.Name && !k.isSynced(h.Name) {
			k.pullFrom(ctx, h)
		}
	}
	k.readTable(ctx)
}

// Complete reports whether this host counts towards the quorum for every id.
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

// markStarted records the start of this process in the platform's table and
// reports whether it is the first one on this host.
func (k *Keeper) markStarted(ctx context.Context) (bool, error) {
	ctx, cancel := k.withCallTimeout(ctx)
	defer cancel()
	epoch := strconv.FormatUint(k.issuer.Epoch(), idBase)
	key := k.self.Zone + "/" + k.self.Name
	err := k.platform.Commit(ctx, []store.Op{{Table: bootTable, Key: key, Action: store.Put, Value: []byte(epoch)}})
	if err == nil {
		return true, nil
	}
	var conflict *store.ConflictError
	if !errors.As(err, &conflict) {
		return false, err
	}
	row, err := k.platform.Get(ctx, bootTable, key)
	if err != nil {
		return false, err
	}
	return string(row.Value) == epoch, nil
}

// pullFrom reads the records that this host shares with h.
func (k *Keeper) pullFrom(ctx context.Context, h Host) {
	next := "0"
	complete := true
	for next != "" {
		var reply PeerReply
		if err := k.call(ctx, h, PeerRequest{Op: opPull, From: k.self.Name, Next: next}, &reply); err != nil {
			return
		}
		complete = complete && reply.Complete
		for _, n := range reply.Notes {
			k.mergeNote(n)
		}
		next = reply.Next
	}
	if !complete {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.synced[h.Name] = true
}

// readTable merges the claims in the platform's table into the records.
func (k *Keeper) readTable(ctx context.Context) {
	ctx, cancel := k.withCallTimeout(ctx)
	defer cancel()
	rows, err := k.platform.Scan(ctx, claimTable, "")
	if err != nil {
		return
	}
	for _, row := range rows {
		var n Note
		if err := cbor.Unmarshal(row.Value, &n); err == nil {
			k.mergeNote(n)
		}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.tableRead = true
}

// mergeNote adds a note that this host may have lost in a restart, or updates its
// record from it.
func (k *Keeper) mergeNote(n Note) {
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
		e.sharedWithPeer = !n.Once
		return
	}
	if !e.running && (n.Run > e.note.Run || n.sameClaim(&e.note) && n.Ended() && !e.note.Ended()) {
		k.setLocked(e, n)
	}
}

// evictExpired removes the records of one shard whose retention time has passed.
func (k *Keeper) evictExpired(sh *shard) {
	now := k.clock.Now()
	var rows []Note
	sh.mu.Lock()
	for id, e := range sh.entries {
		if e.running || now.Sub(e.changedAt) <= k.retention {
			continue
		}
		if e.mayHaveRow {
			rows = append(rows, e.note)
		}
		k.totalBodyBytes.Add(int64(-len(e.note.Body)))
		delete(sh.entries, id)
		k.size.Add(-1)
	}
	sh.mu.Unlock()
	for _, n := range rows {
		k.runInBackground(func() { k.deleteRow(n) })
	}
}

// deleteRow deletes the row of a claim whose record has been removed.
func (k *Keeper) deleteRow(n Note) {
	ctx, cancel := k.withCallTimeout(context.Background())
	defer cancel()
	k.updateRow(ctx, &n, func(version uint64) (store.Op, bool) {
		return store.Op{Table: claimTable, Key: k.rowKey(n.ID), Expect: version, Action: store.Delete}, true
	})
}
