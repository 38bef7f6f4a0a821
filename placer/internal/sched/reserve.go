package sched

import (
	"slices"
	"time"

	"github.com/balsamford/balsamford/coord/wire"
	"github.com/balsamford/balsamford/placer/internal/cell"
)

const (
	// gangPatience is how long a gang waits before endpoints are kept for it.
	gangPatience = 2 * time.Second
	// reservePeriod is how long a choice of endpoints stands.
	reservePeriod = 30 * time.Second
	// gangStrict is how long a gang waits before nothing else may start on the
	// endpoints kept for it, and their choice stands for good.
	gangStrict = 2 * time.Minute
	// defaultRuntime stands for a run time that isn't declared.
	defaultRuntime = time.Minute
)

// reservation keeps endpoints for the gang that has waited longest. Other
// work may start there only if it is expected to end before the gang could
// start.
type reservation struct {
	entry *entry
	rows  map[*cell.Row]bool
	at    time.Time // when the gang is expected to start
	until time.Time // when the endpoints are chosen anew
}

// release ends a reservation.
func (v *reservation) release() {
	v.entry = nil
	clear(v.rows)
}

// forbids reports whether an endpoint is kept from an entry.
func (v *reservation) forbids(r *cell.Row, e *entry, now time.Time) bool {
	if v.entry == nil || v.entry == e || !v.rows[r] {
		return false
	}
	if now.Sub(v.entry.since) > gangStrict {
		return true
	}
	return e.item.Kind == wire.Service || now.Add(runtime(e)).After(v.at)
}

// stands reports whether the choice of endpoints is for good: the gang has
// waited long, and all of them are still open.
func (v *reservation) stands(now time.Time) bool {
	if now.Sub(v.entry.since) <= gangStrict {
		return false
	}
	for r := range v.rows {
		if !r.Open() {
			return false
		}
	}
	return true
}

func runtime(e *entry) time.Duration {
	if e.expected <= 0 {
		return defaultRuntime
	}
	return e.expected
}

// want notes a gang that found no room.
func (p *pool) want(e *entry) {
	if p.oldest == nil || e.since.Before(p.oldest.since) {
		p.oldest = e
	}
}

// reserve chooses endpoints for the gang that has waited longest.
func (p *pool) reserve() {
	now := p.timer.Now()
	v := &p.reserved
	if v.entry != nil && (v.entry.lane == nil || now.After(v.until) && !v.stands(now)) {
		v.release()
	}
	e := p.oldest
	p.oldest = nil
	if e == nil || v.entry != nil || e.lane == nil || now.Sub(e.since) < gangPatience {
		return
	}
	p.reserveFor(e, now)
}

// clearing is when an endpoint will have room for how many members.
type clearing struct {
	row    *cell.Row
	at     time.Time
	copies int
}

func (p *pool) reserveFor(e *entry, now time.Time) {
	var list []clearing
	for _, r := range p.table.Rows() {
		if !r.Open() || slices.Contains(e.item.Avoid, r.Name()) {
			continue
		}
		if c := p.clearing(r, e, now); c.copies > 0 {
			list = append(list, c)
		}
	}
	slices.SortFunc(list, func(a, b clearing) int { return a.at.Compare(b.at) })
	v := &p.reserved
	if v.rows == nil {
		v.rows = make(map[*cell.Row]bool)
	}
	left := len(e.pending)
	for _, c := range list {
		v.rows[c.row] = true
		v.at = c.at
		if left -= c.copies; left <= 0 {
			v.entry, v.until = e, now.Add(reservePeriod)
			return
		}
	}
	v.release()
}

// clearing works out when all but services will have ended on an endpoint. A
// task that has run longer than expected is expected to run as long again.
func (p *pool) clearing(r *cell.Row, e *entry, now time.Time) clearing {
	c := clearing{row: r, at: now}
	room := r.Capacity()
	for _, other := range p.hosted[r] {
		if other.entry.item.Kind == wire.Service {
			room = room.Sub(other.needs)
			continue
		}
		end := other.start.Add(runtime(other.entry))
		if end.Before(now) {
			end = now.Add(now.Sub(other.start))
		}
		if end.After(c.at) {
			c.at = end
		}
	}
	c.copies = cell.Copies(e.granted, room, len(e.pending))
	return c
}
