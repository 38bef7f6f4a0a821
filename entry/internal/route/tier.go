package route

import "github.com/balsamford/balsamford/coord/wire"

// The tiers in which placers are preferred, best first.
const (
	ownRoom = iota
	otherRoom
	ownFull
	otherFull
	ownSilent
	otherSilent
	worstTier
)

// tierLocked returns the tier of a placer for a request. A placer that was
// just not reached, is leaving or has been tried isn't chosen at all; one that
// owes a word is chosen last.
func (t *Table) tierLocked(v *view, q Query) int {
	now := t.clock.Now()
	if q.Zone != "" && q.Zone != v.Zone {
		return worstTier
	}
	if q.Tried[v.Name] || v.load.Leaving || !v.failed.IsZero() && now.Sub(v.failed) < failedTime {
		return worstTier
	}
	tier := ownFull
	switch {
	case !t.fresh(v, now), t.silentLocked(v, now):
		tier = ownSilent
	case room(v.load, q):
		tier = ownRoom
	}
	if v.Zone != t.zone {
		tier++
	}
	return tier
}

// room reports whether a placer says that it could start the request now.
func room(load wire.Load, q Query) bool {
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
