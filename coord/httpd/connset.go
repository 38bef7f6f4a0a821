package httpd

import (
	"sync"
	"sync/atomic"
)

const setShards = 16

// connSet holds the open connections in shards.
type connSet struct {
	size   atomic.Int64
	next   atomic.Uint64
	shards [setShards]connShard
}

type connShard struct {
	mu    sync.Mutex // guards conns
	conns map[*conn]struct{}
}

// add returns the number of connections including cn.
func (s *connSet) add(cn *conn) int {
	cn.shard = int(s.next.Add(1) % setShards)
	sh := &s.shards[cn.shard]
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if sh.conns == nil {
		sh.conns = make(map[*conn]struct{})
	}
	sh.conns[cn] = struct{}{}
	return int(s.size.Add(1))
}

func (s *connSet) remove(cn *conn) {
	sh := &s.shards[cn.shard]
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if _, ok := sh.conns[cn]; ok {
		delete(sh.conns, cn)
		s.size.Add(-1)
	}
}

func (s *connSet) count() int { return int(s.size.Load()) }

// due returns the connections whose deadline is before now, and all idle
// ones if idle is true.
func (s *connSet) due(now int64, idle bool) []*conn {
	var out []*conn
	for i := range s.shards {
		sh := &s.shards[i]
		sh.mu.Lock()
		for cn := range sh.conns {
			due := cn.due.Load()
			if due != 0 && (due < now || idle && cn.idle.Load()) {
				out = append(out, cn)
			}
		}
		sh.mu.Unlock()
	}
	return out
}
