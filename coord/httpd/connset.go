package httpd

import (
	"sync"
	"sync/atomic"
)

// setShards is the number of shards of a connSet.
const setShards = 16

// connSet is the set of open connections, in shards with a lock each.
type connSet struct {
	size   atomic.Int64
	next   atomic.Uint64
	shards [setShards]connShard
}

type connShard struct {
	mu    sync.Mutex // guards conns
	conns map[*conn]struct{}
}

// add adds cn and returns the number of connections including cn.
func (s *connSet) add(cn *conn) int {
	cn.shard = int(s.next.Add(1) % setShards)
	shard := &s.shards[cn.shard]
	shard.mu.Lock()
	defer shard.mu.Unlock()
	if shard.conns == nil {
		shard.conns = make(map[*conn]struct{})
	}
	shard.conns[cn] = struct{}{}
	return int(s.size.Add(1))
}

func (s *connSet) remove(cn *conn) {
	shard := &s.shards[cn.shard]
	shard.mu.Lock()
	defer shard.mu.Unlock()
	if _, ok := shard.conns[cn]; ok {
		delete(shard.conns, cn)
		s.size.Add(-1)
	}
}

func (s *connSet) count() int { return int(s.size.Load()) }

// expired returns the connections whose deadline is before now, in Unix
// nanoseconds, and if idle is true also all idle connections that have a
// deadline.
func (s *connSet) expired(now int64, idle bool) []*conn {
	var out []*conn
	for i := range s.shards {
		shard := &s.shards[i]
		shard.mu.Lock()
		for cn := range shard.conns {
			deadline := cn.deadline.Load()
			if deadline != 0 && (deadline < now || idle && cn.idle.Load()) {
				out = append(out, cn)
			}
		}
		shard.mu.Unlock()
	}
	return out
}
