package serve

import (
	"context"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/balsamford/balsamford/coord/wire"
)

const liveShards = 16

// live is a request that runs in this process.
type live struct {
	id     string
	team   string
	wanted context.Context // ends when the request is cancelled
	cancel context.CancelFunc

	mu    sync.Mutex // guards phase
	phase wire.Phase
}

func (l *live) set(p wire.Phase) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.phase = p
}

func (l *live) get() wire.Phase {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.phase
}

// lives are the requests that run in this process, in shards.
type lives struct {
	shards [liveShards]liveShard
}

type liveShard struct {
	mu    sync.Mutex // guards items
	items map[string]*live
}

func (s *lives) shard(id string) *liveShard { return &s.shards[xxhash.Sum64String(id)%liveShards] }

func (s *lives) add(l *live) {
	sh := s.shard(l.id)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if sh.items == nil {
		sh.items = make(map[string]*live)
	}
	sh.items[l.id] = l
}

func (s *lives) remove(l *live) {
	sh := s.shard(l.id)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if sh.items[l.id] == l {
		delete(sh.items, l.id)
	}
}

func (s *lives) find(id string) *live {
	sh := s.shard(id)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	return sh.items[id]
}
