package board

import (
	"maps"
	"slices"
	"sync"

	"go.uber.org/zap"

	"github.com/balsamford/balsamford/coord/model"
	"github.com/balsamford/balsamford/platform"
)

// JobState is the state of one job.
type JobState struct {
	Accepted
	Phase     model.Phase
	Cancelled bool // its team has requested cancellation
}

// Listener receives the changes that the owner acts on. Its methods must not block.
type Listener interface {
	JobListener // for jobs whose submission is in the board row itself
	OwnerChanged(o Owner, version int64)
	JobCancelled(id string)
}

// Board is a host's in-memory copy of the table named by Table. It may be used
// concurrently; it implements follow.Handler.
type Board struct {
	logger *zap.Logger

	mu           sync.Mutex // guards the fields below
	owner        Owner
	ownerVersion int64
	hosts        map[string]Host
	jobs         map[string]Accepted
	phases       map[string]Phase
	parts        map[string][]string // partitions that have an acceptance row, by job
	cancelled    map[string]bool
	pending      map[accepter]int // accepted jobs that are still queued
	listener     Listener         // nil for none
	ready        bool             // the table has been read at least once
}

// New returns an empty Board.
func New(logger *zap.Logger) *Board {
	b := &Board{logger: logger}
	b.clear()
	return b
}

func (b *Board) clear() {
	b.hosts, b.jobs, b.phases = make(map[string]Host), make(map[string]Accepted), make(map[string]Phase)
	b.parts = make(map[string][]string)
	b.cancelled, b.pending = make(map[string]bool), make(map[accepter]int)
}

// Listen sets the listener for later changes, nil for none. It returns the present
// state: the jobs whose submission is in the board row itself, and the IDs of the
// cancelled jobs.
func (b *Board) Listen(l Listener) (jobs []*model.Job, cancelled []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.listener = l
	for _, a := range b.jobs {
		if a.Job != nil {
			jobs = append(jobs, a.Job)
		}
	}
	for id := range b.cancelled {
		cancelled = append(cancelled, id)
	}
	return jobs, cancelled
}

// Accepted returns all accepted jobs, by ID.
func (b *Board) Accepted() map[string]Accepted {
	b.mu.Lock()
	defer b.mu.Unlock()
	return maps.Clone(b.jobs)
}

// Owner returns the cell's owner and the version of its row, 0 if there is none.
func (b *Board) Owner() (Owner, int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.owner, b.ownerVersion
}

// Hosts returns all registered hosts, in no particular order.
func (b *Board) Hosts() []Host {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make([]Host, 0, len(b.hosts))
	for _, h := range b.hosts {
		out = append(out, h)
	}
	return out
}

// Host returns the host of that name, and false if none is registered.
func (b *Board) Host(name string) (Host, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	h, ok := b.hosts[name]
	return h, ok
}

// Job returns the state of a job, and whether the job is accepted.
func (b *Board) Job(id string) (JobState, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	j, ok := b.jobs[id]
	return JobState{Accepted: j, Phase: b.phases[id].Phase, Cancelled: b.cancelled[id]}, ok
}

// HasPhase reports whether a job has a phase row.
func (b *Board) HasPhase(id string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, ok := b.phases[id]
	return ok
}

// PartsOf returns the partitions that have an acceptance row of a job.
func (b *Board) PartsOf(id string) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.parts[id])
}

// Unaccepted returns the jobs that are cancelled and not accepted.
func (b *Board) Unaccepted() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []string
	for id := range b.cancelled {
		if _, ok := b.jobs[id]; !ok {
			out = append(out, id)
		}
	}
	return out
}

// Pending returns the number of accepted jobs of a queue that are still queued.
func (b *Board) Pending(q *model.Queue) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for a, pending := range b.pending {
		if q.Owns(a.name, a.host, a.prefix) {
			n += pending
		}
	}
	return n
}

// Ended returns the IDs of up to n jobs that ended before a time in Unix seconds:
// accepted are those that still have an acceptance row, phaseOnly those of which only
// the phase row is left.
func (b *Board) Ended(before int64, n int) (accepted, phaseOnly []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, p := range b.phases {
		if len(accepted)+len(phaseOnly) == n {
			break
		}
		if !p.Phase.Final() || p.Ended >= before {
			continue
		}
		if _, ok := b.jobs[id]; ok {
			accepted = append(accepted, id)
		} else {
			phaseOnly = append(phaseOnly, id)
		}
	}
	return accepted, phaseOnly
}

// Ready reports whether the table has been read at least once.
func (b *Board) Ready() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ready
}

// Reset implements follow.Handler. It replaces the contents atomically, so that
// concurrent readers see either all old rows or all new ones.
func (b *Board) Reset(rows []platform.Row) {
	fresh := New(b.logger)
	fresh.Change(rows)
	b.mu.Lock()
	b.ready = true
	b.hosts, b.jobs, b.phases, b.parts = fresh.hosts, fresh.jobs, fresh.phases, fresh.parts
	b.cancelled, b.pending = fresh.cancelled, fresh.pending
	l := b.listener
	owner, version := fresh.owner, fresh.ownerVersion
	changed := version > b.ownerVersion
	if changed {
		b.owner, b.ownerVersion = owner, version
	}
	var jobs []*model.Job
	var cancelled []string
	if l != nil {
		jobs, cancelled = b.activeLocked()
	}
	b.mu.Unlock()
	if l == nil {
		return
	}
	if changed {
		l.OwnerChanged(owner, version)
	}
	for _, j := range jobs {
		l.JobAccepted(j)
	}
	for _, id := range cancelled {
		l.JobCancelled(id)
	}
}

// activeLocked returns the jobs that haven't ended and whose submission is in the board
// row itself, and the IDs of the cancelled jobs. The caller holds mu.
func (b *Board) activeLocked() (jobs []*model.Job, cancelled []string) {
	for id, a := range b.jobs {
		if a.Job != nil && !b.phases[id].Phase.Final() {
			jobs = append(jobs, a.Job)
		}
	}
	for id := range b.cancelled {
		cancelled = append(cancelled, id)
	}
	return jobs, cancelled
}

// Change implements follow.Handler.
func (b *Board) Change(rows []platform.Row) {
	for _, row := range rows {
		if err := b.apply(row); err != nil {
			b.logger.Warn("board row ignored", zap.String("key", row.Key), zap.Error(err))
		}
	}
}
