package record

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// shardCount is the number of shards of a Keeper's records.
const shardCount = 32

// entry is one record in memory.
type entry struct {
	note           Note
	changedAt      time.Time     // when the claim or the outcome was last stored
	running        bool          // this process has claimed the request, which has not ended
	pending        bool          // the claim is not yet stored on a second replica
	freshID        bool          // the id was issued for this call
	sharedWithPeer bool          // the request is idempotent and the other holder has the claim
	mayHaveRow     bool          // the platform's table may have a row for the claim
	done           chan struct{} // closed when the request ends; nil unless running
}

// shard is one part of a Keeper's records.
type shard struct {
	mu      sync.Mutex // guards entries
	entries map[string]*entry
}

func (k *Keeper) shard(id string) *shard {
	return &k.shards[xxhash.Sum64String(id)%shardCount]
}
