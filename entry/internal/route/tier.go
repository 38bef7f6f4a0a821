package route

import "github.com/balsamford/balsamford/coord/wire"

// The tiers of placers in order of preference. Each remote tier directly follows
// the local one.
const (
	localFree = iota
	remoteFree
	localFull
	remoteFull
	localUnresponsive
	remoteUnresponsive
	ineligible
)

// tierLocked returns the tier of a placer for a request. A placer that was recently
// unreachable, is leaving or was already tried is ineligible. One whose load is
// stale or that doesn't respond comes last.
func (t *Table) tierLocked(v *placerState, q Query) int {
	now := t.clock.Now()
	if q.Zone != "" && q.Zone != v.Zone {
		return ineligible
	}
	if q.Tried[v.Name] || v.load.Leaving || !v.failedAt.IsZero() && now.Sub(v.failedAt) < unreachableTime {
		return ineligible
	}
	tier := localFull
	switch {
	case !t.fresh(v, now), t.unresponsiveLocked(v, now):
		tier = localUnresponsive
	case hasCapacity(v.load, q):
		tier = localFree
	}
	if v.Zone != t.zone {
		tier++
	}
	return tier
}

// hasCapacity reports whether the request fits into the free capacity that the
// placer reported.
func hasCapacity(load wire.Load, q Query) bool {
	free, ok := load.Free[q.Kind]
	if !ok {
		return false
	}
	needs := q.Needs
	if q.Kind == wire.Quick && needs.Slots == 0 {
		needs.Slots = 1
	}
	return needs.Fits(free)
}
