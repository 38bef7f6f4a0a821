package sched

import (
	"slices"
	"time"

	"github.com/balsamford/balsamford/coord/wire"
	"github.com/balsamford/balsamford/placer/internal/alloc"
)

const (
	// gangReserveDelay is how long a gang waits before endpoints are reserved
	// for it.
	gangReserveDelay = 2 * time.Second
	// reservationTTL is how long a reservation lasts before the endpoints are
	// selected again.
	reservationTTL = 30 * time.Second
	// gangExclusiveDelay is how long a gang waits before no other work may start
	// on its reserved endpoints and the reservation no longer expires.
	gangExclusiveDelay = 2 * time.Minute
	// defaultRuntime is assumed for a task that declares no run time.
	defaultRuntime = time.Minute
)

// reservation reserves endpoints for the blocked gang that has waited longest.
// Other work may be backfilled there if it is expected to end before the gang
// can start.
type reservation struct {
	entry         *entry
	rows          map[*alloc.Row]bool
	expectedStart time.Time // of the gang
	until         time.Time // end of the reservation
}

// release ends a reservation.
func (v *reservation) release() {
	v.entry = nil
	clear(v.rows)
}

// forbids reports whether the reservation keeps an entry from an endpoint.
func (v *reservation) forbids(r *alloc.Row, e *entry, now time.Time) bool {
	if v.entry == nil || v.entry == e || !v.rows[r] {
		return false
	}
	if now.Sub(v.entry.submittedAt) > gangExclusiveDelay {
		return true
	}
	return e.item.Kind == wire.Service || now.Add(expectedRuntime(e)).After(v.expectedStart)
}

// final reports whether the reservation doesn't expire: the gang has waited
// longer than gangExclusiveDelay, and all reserved endpoints are still open.
func (v *reservation) final(now time.Time) bool {
	if now.Sub(v.entry.submittedAt) <= gangExclusiveDelay {
		return false
	}
	for r := range v.rows {
		if !r.Open() {
			return false
		}
	}
	return true
}

// expectedRuntime returns the estimated run time of an entry's tasks, or the
// default if there is no estimate.
func expectedRuntime(e *entry) time.Duration {
	if e.runtime <= 0 {
		return defaultRuntime
	}
	return e.runtime
}

// noteBlockedGang records a gang that found no room in this pass.
func (p *pool) noteBlockedGang(e *entry) {
	if p.oldestBlockedGang == nil || e.submittedAt.Before(p.oldestBlockedGang.submittedAt) {
		p.oldestBlockedGang = e
	}
}

// reserve ends an expired reservation, and makes one for the gang that has
// waited longest if there is none.
func (p *pool) reserve() {
	now := p.timer.Now()
	v := &p.reserved
	if v.entry != nil && (v.entry.subqueue == nil || now.After(v.until) && !v.final(now)) {
		v.release()
	}
	e := p.oldestBlockedGang
	p.oldestBlockedGang = nil
	if e == nil || v.entry != nil || e.subqueue == nil || now.Sub(e.submittedAt) < gangReserveDelay {
		return
	}
	p.reserveFor(e, now)
}

// availability is the forecast for an endpoint that is drained for a gang.
type availability struct {
	row     *alloc.Row
	at      time.Time // when the endpoint is expected to be drained
	members int       // number of members that it can run then
}

// reserveFor reserves the endpoints that become available first, up to as many
// as the gang needs. If all of them are too few, it reserves none.
func (p *pool) reserveFor(e *entry, now time.Time) {
	var list []availability
	for _, r := range p.table.Rows() {
		if !r.Open() || slices.Contains(e.item.Avoid, r.Name()) {
			continue
		}
		if c := p.forecast(r, e, now); c.members > 0 {
			list = append(list, c)
		}
	}
	slices.SortFunc(list, func(a, b availability) int { return a.at.Compare(b.at) })
	v := &p.reserved
	if v.rows == nil {
		v.rows = make(map[*alloc.Row]bool)
	}
	left := len(e.pending)
	for _, c := range list {
		v.rows[c.row] = true
		v.expectedStart = c.at
		if left -= c.members; left <= 0 {
			v.entry, v.until = e, now.Add(reservationTTL)
			return
		}
	}
	v.release()
}

// forecast estimates when all tasks on an endpoint, except services, will have
// ended. A task that has exceeded its expected run time is assumed to run for
// as long again as it has run so far.
func (p *pool) forecast(r *alloc.Row, e *entry, now time.Time) availability {
	c := availability{row: r, at: now}
	room := r.Capacity()
	for _, other := range p.runsByRow[r] {
		if other.entry.item.Kind == wire.Service {
			room = room.Sub(other.needs)
			continue
		}
		end := other.start.Add(expectedRuntime(other.entry))
		if end.Before(now) {
			end = now.Add(now.Sub(other.start))
		}
		if end.After(c.at) {
			c.at = end
		}
	}
	c.members = alloc.Copies(e.granted, room, len(e.pending))
	return c
}
