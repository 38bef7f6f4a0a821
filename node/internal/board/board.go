package board

import (
	"sync"

	"go.uber.org/zap"

	"github.com/balsamford/balsamford/coord/model"
	"github.com/balsamford/balsamford/platform"
)

// Entry is what the board shows of a job.
type Entry struct {
	Job
	Cancelled bool // its team has cancelled it
}

// Listener hears of changes that concern the owner. The calls must not block.
type Listener interface {
	OwnerChanged(o Owner, version int64)
	JobCancelled(id string)
}

// Board is a host's copy of the board. It may be used concurrently; it
// implements follow.Handler.
type Board struct {
	logger *zap.Logger

	mu        sync.Mutex // guards the fields below
	owner     Owner
	ownerVer  int64
	hosts     map[string]Host
	jobs      map[string]Job
	cancelled map[string]bool
	pending   map[string]int // jobs that haven't begun, by queue
	listener  Listener       // nil for none
}

// New returns an empty Board.
func New(logger *zap.Logger) *Board {
	b := &Board{logger: logger}
	b.clear()
	return b
}

func (b *Board) clear() {
	b.hosts, b.jobs = make(map[string]Host), make(map[string]Job)
	b.cancelled, b.pending = make(map[string]bool), make(map[string]int)
}

// Listen sets who hears of changes; nil is nobody.
func (b *Board) Listen(l Listener) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.listener = l
}

// Owner returns the cell's owner and the version of its row, 0 if there is none.
func (b *Board) Owner() (Owner, int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.owner, b.ownerVer
}

// Hosts returns the hosts.
func (b *Board) Hosts() []Host {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make([]Host, 0, len(b.hosts))
	for _, h := range b.hosts {
		out = append(out, h)
	}
	return out
}

// Job returns what is known of a job, and whether it is known.
func (b *Board) Job(id string) (Entry, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	j, ok := b.jobs[id]
	return Entry{Job: j, Cancelled: b.cancelled[id]}, ok
}

// Pending returns how many jobs of a queue haven't begun.
func (b *Board) Pending(queue string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.pending[queue]
}

// Ended returns up to n jobs that ended before a time in Unix seconds.
func (b *Board) Ended(before int64, n int) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []string
	for id, j := range b.jobs {
		if len(out) == n {
			break
		}
		if j.Phase.Final() && j.Ended < before {
			out = append(out, id)
		}
	}
	return out
}

// Reset implements follow.Handler.
func (b *Board) Reset(rows []platform.Row) {
	b.mu.Lock()
	b.clear()
	b.mu.Unlock()
	b.Change(rows)
}

// Change implements follow.Handler.
func (b *Board) Change(rows []platform.Row) {
	for _, row := range rows {
		if err := b.apply(row); err != nil {
			b.logger.Warn("row of the board left out", zap.String("key", row.Key), zap.Error(err))
		}
	}
}

// apply takes one changed row.
func (b *Board) apply(row platform.Row) error {
	if row.Key == OwnerKey {
		return b.applyOwner(row)
	}
	if id, ok := suffix(row.Key, jobPrefix); ok {
		return b.applyJob(id, row)
	}
	if id, ok := suffix(row.Key, cancelPrefix); ok {
		b.applyCancel(id, row)
		return nil
	}
	if name, ok := suffix(row.Key, hostPrefix); ok {
		return b.applyHost(name, row)
	}
	return nil
}

func (b *Board) applyOwner(row platform.Row) error {
	var o Owner
	if err := Decode(row, &o); err != nil {
		return err
	}
	b.mu.Lock()
	if row.Version <= b.ownerVer {
		b.mu.Unlock()
		return nil
	}
	b.owner, b.ownerVer = o, row.Version
	l := b.listener
	b.mu.Unlock()
	if l != nil {
		l.OwnerChanged(o, row.Version)
	}
	return nil
}

func (b *Board) applyJob(id string, row platform.Row) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if old, ok := b.jobs[id]; ok && old.Phase == model.Queued {
		b.pending[old.Queue]--
	}
	delete(b.jobs, id)
	if row.Deleted {
		delete(b.cancelled, id)
		return nil
	}
	var j Job
	if err := Decode(row, &j); err != nil {
		return err
	}
	b.jobs[id] = j
	if j.Phase == model.Queued {
		b.pending[j.Queue]++
	}
	return nil
}

func (b *Board) applyCancel(id string, row platform.Row) {
	b.mu.Lock()
	l := b.listener
	if row.Deleted {
		delete(b.cancelled, id)
		l = nil
	} else {
		b.cancelled[id] = true
	}
	b.mu.Unlock()
	if l != nil {
		l.JobCancelled(id)
	}
}

func (b *Board) applyHost(name string, row platform.Row) error {
	var h Host
	if !row.Deleted {
		if err := Decode(row, &h); err != nil {
			return err
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if row.Deleted {
		delete(b.hosts, name)
		return nil
	}
	b.hosts[name] = h
	return nil
}

// Cancelled returns the jobs that were cancelled and haven't ended.
func (b *Board) Cancelled() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make([]string, 0, len(b.cancelled))
	for id := range b.cancelled {
		if j, ok := b.jobs[id]; ok && !j.Phase.Final() {
			out = append(out, id)
		}
	}
	return out
}
