package parts

import "slices"

// maxRemoved bounds the names of removed holders that a zone keeps.
const maxRemoved = 64

// Account is the platform row of one team's limit: how much of it each zone has
// been allocated, and what each holder has recorded.
type Account struct {
	Limit Amount           `cbor:"limit"`
	Dims  Dims             `cbor:"dims,omitempty"` // resources that are limited; 0 means tasks only
	Zones map[string]*Zone `cbor:"zones"`          // by name
}

// Zone is one zone's share of a limit.
type Zone struct {
	Part     Amount            `cbor:"part"`           // allocated to the zone
	Standing Amount            `cbor:"standing"`       // guaranteed minimum: other zones can't reduce Part below it
	Round    uint64            `cbor:"round"`          // current round
	Holders  map[string]*Entry `cbor:"holders"`        // by name
	Gone     []string          `cbor:"gone,omitempty"` // names of the holders removed last
}

// Entry is a holder's record of itself.
type Entry struct {
	Round uint64 `cbor:"round"`          // round in which the holder recorded itself
	Held  Amount `cbor:"held"`           // the holder's part, and what it runs above that
	Seq   uint64 `cbor:"seq"`            // sequence number of the holder's last write
	Want  Amount `cbor:"want,omitzero"`  // large request that has to fit into one holder's part
	Turn  uint64 `cbor:"turn,omitempty"` // position in the queue of large requests: the lowest is served, 0 means none
}

// Allocated returns the sum of the zones' parts, which is the allocated amount.
func (a *Account) Allocated() Amount {
	var sum Amount
	for _, z := range a.Zones {
		sum = sum.Add(z.Part)
	}
	return sum
}

// Accepted reports whether the allocated parts fit the limit. A lowered limit is
// in force only once they do.
func (a *Account) Accepted() bool { return !a.excess().Any() }

// Bound returns the limit.
func (a *Account) Bound() Bound { return Bound{Most: a.Limit, Dims: a.dims()} }

// dims returns the set of resources that are limited.
func (a *Account) dims() Dims {
	if a.Dims == 0 {
		return DimsOf(Tasks)
	}
	return a.Dims
}

// excess returns by how much the allocated parts exceed the limit of each
// resource. It is negative if they are below the limit, and 0 for a resource
// without a limit.
func (a *Account) excess() Amount { return a.dims().only(a.Allocated().Sub(a.Limit)) }

// exceeded returns the set of resources of which more is allocated than the
// limit.
func (a *Account) exceeded() Dims {
	var d Dims
	for i, n := range a.excess() {
		if n > 0 {
			d |= DimsOf(i)
		}
	}
	return d
}

// zone returns the zone of that name. It adds the zone if it doesn't exist.
func (a *Account) zone(name string) *Zone {
	z := a.Zones[name]
	if z == nil {
		z = &Zone{Round: 1}
		a.Zones[name] = z
	}
	if z.Holders == nil {
		z.Holders = make(map[string]*Entry)
	}
	return z
}

// hasSeen reports whether a holder has an entry, or has been removed lately.
func (z *Zone) hasSeen(holder string) bool {
	return z.Holders[holder] != nil || slices.Contains(z.Gone, holder)
}

// remove deletes a holder's entry and starts a round, in which its part becomes
// free.
func (z *Zone) remove(holder string) {
	delete(z.Holders, holder)
	z.Round++
	z.Gone = append(z.Gone, holder)
	z.Gone = z.Gone[max(len(z.Gone)-maxRemoved, 0):]
}

// slack returns the amount of the zone's part that no holder has. It is negative
// if more runs than the zone's part. While any holder hasn't recorded itself in
// the current round, the amount is unknown and ok is false.
func (z *Zone) slack() (n Amount, ok bool) {
	n = z.Part
	for _, e := range z.Holders {
		if e.Round != z.Round {
			return Amount{}, false
		}
		n = n.Sub(e.Held)
	}
	return n, true
}

// growZone raises a zone's part of resource i by up to n and returns by how much.
// It takes first what is allocated to no zone, then the slack of other zones
// above their standing parts, or all their slack if takeStanding is true.
func (a *Account) growZone(z *Zone, i int, n int64, takeStanding bool) int64 {
	left := -a.excess()[i]
	got := max(min(n, left), 0)
	z.Part[i] += got
	for _, other := range a.Zones {
		if other == z || got == n || left < 0 {
			continue
		}
		free, ok := other.slack()
		if !ok {
			continue
		}
		keep := other.Standing[i]
		if takeStanding {
			keep = 0
		}
		k := max(min(n-got, free[i], other.Part[i]-keep), 0)
		other.Part[i] -= k
		z.Part[i] += k
		got += k
	}
	return got
}

// shrinkZone lowers a zone's part by its slack, but by no more than the allocated
// parts exceed the limit.
func (a *Account) shrinkZone(z *Zone) {
	if free, ok := z.slack(); ok {
		z.Part = z.Part.Sub(free.min(a.excess()).max(Amount{}))
	}
}
