package serve

import (
	"context"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/balsamford/balsamford/coord/wire"
)

// activeShards is the number of shards of an activeSet.
const activeShards = 16

// active is a quick request that this process runs.
type active struct {
	id     string
	team   string
	reqCtx context.Context // cancelled with the request
	cancel context.CancelFunc

	mu    sync.Mutex // guards phase
	phase wire.Phase
}

func (a *active) setPhase(p wire.Phase) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.phase = p
}

func (a *active) currentPhase() wire.Phase {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.phase
}

// activeSet holds the quick requests that this process runs, by id, sharded to
// reduce lock contention.
type activeSet struct {
	shards [activeShards]activeShard
}

// activeShard is one shard of an activeSet.
type activeShard struct {
	mu    sync.Mutex // guards items
	items map[string]*active
}

func (s *activeSet) shard(id string) *activeShard {
	return &s.shards[xxhash.Sum64String(id)%activeShards]
}

func (s *activeSet) add(a *active) {
	sh := s.shard(a.id)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if sh.items == nil {
		sh.items = make(map[string]*active)
	}
	sh.items[a.id] = a
}

func (s *activeSet) remove(a *active) {
	sh := s.shard(a.id)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if sh.items[a.id] == a {
		delete(sh.items, a.id)
	}
}

func (s *activeSet) find(id string) *active {
	sh := s.shard(id)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	return sh.items[id]
}
