package board

import (
	"slices"

	"github.com/balsamford/balsamford/coord/model"
	"github.com/balsamford/balsamford/platform"
)

// apply updates the board from one changed row. Rows with unknown keys are ignored.
func (b *Board) apply(row platform.Row) error {
	if row.Key == OwnerKey {
		return b.applyOwner(row)
	}
	if id, ok := suffix(row.Key, acceptPrefix); ok {
		return b.applyAccept(id, row)
	}
	if id, ok := suffix(row.Key, phasePrefix); ok {
		return b.applyPhase(id, row)
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
	if row.Version <= b.ownerVersion {
		b.mu.Unlock()
		return nil
	}
	b.owner, b.ownerVersion = o, row.Version
	l := b.listener
	b.mu.Unlock()
	if l != nil {
		l.OwnerChanged(o, row.Version)
	}
	return nil
}

// addPending adds n to the pending count of a job's queue if the job is accepted and
// still queued. The caller holds mu.
func (b *Board) addPending(id string, n int) {
	if j, ok := b.jobs[id]; ok && b.phases[id].Phase == model.Queued {
		a := j.accepter()
		if b.pending[a] += n; b.pending[a] == 0 {
			delete(b.pending, a) // Queues that are gone leave nothing behind.
		}
	}
}

func (b *Board) applyAccept(id string, row platform.Row) error {
	var j Accepted
	if !row.Deleted {
		if err := Decode(row, &j); err != nil {
			return err
		}
	}
	b.mu.Lock()
	b.addPending(id, -1)
	parts := slices.DeleteFunc(b.parts[id], func(p string) bool { return p == row.Part })
	if !row.Deleted {
		parts = append(parts, row.Part)
		b.jobs[id] = j
	}
	b.parts[id] = parts
	if len(parts) == 0 {
		delete(b.parts, id)
		delete(b.jobs, id)
	}
	b.addPending(id, 1)
	l := b.listener
	if b.phases[id].Phase.Final() {
		l = nil // A delayed write of a repeated submission.
	}
	b.mu.Unlock()
	if l != nil && j.Job != nil {
		l.JobAccepted(j.Job)
	}
	return nil
}

func (b *Board) applyPhase(id string, row platform.Row) error {
	var p Phase
	if !row.Deleted {
		if err := Decode(row, &p); err != nil {
			return err
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.addPending(id, -1)
	delete(b.phases, id)
	if !row.Deleted {
		b.phases[id] = p
	}
	b.addPending(id, 1)
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
