package record

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// shards is the number of parts of a Keeper's table.
const shards = 32

// entry is one record in memory.
type entry struct {
	note    Note
	since   time.Time     // of the claim or the outcome, whichever came last
	here    bool          // the request runs in this process
	pending bool          // the claim is not yet held in a second place
	private bool          // the id was issued for this very call
	shared  bool          // idempotent, and the other holder knows of the claim
	row     bool          // a row of the platform's table may exist
	done    chan struct{} // closed with the outcome; nil unless here
}

// shard is one part of the table.
type shard struct {
	mu      sync.Mutex // guards entries
	entries map[string]*entry
}

func (k *Keeper) shard(id string) *shard {
	return &k.shards[xxhash.Sum64String(id)%shards]
}
