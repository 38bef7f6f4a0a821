package parts

import "slices"

// maxGone is how many buried holders a zone remembers.
const maxGone = 64

// Account is the row of one team's limit.
type Account struct {
	Limit Amount           `cbor:"limit"`
	Dims  Dims             `cbor:"dims,omitempty"` // resources that are limited; 0 is tasks alone
	Zones map[string]*Zone `cbor:"zones"`
}

// Zone is what one zone has of a limit.
type Zone struct {
	Part     Amount            `cbor:"part"`
	Standing Amount            `cbor:"standing"` // no other zone takes the part below it
	Round    uint64            `cbor:"round"`
	Holders  map[string]*Entry `cbor:"holders"`
	Gone     []string          `cbor:"gone,omitempty"` // holders buried last
}

// Entry is a holder's record of itself.
type Entry struct {
	Round uint64 `cbor:"round"` // in which it was recorded
	Held  Amount `cbor:"held"`
	Seq   uint64 `cbor:"seq"`            // of the holder's last write
	Want  Amount `cbor:"want,omitzero"`  // needed as a whole
	Turn  uint64 `cbor:"turn,omitempty"` // in which it gathers that; the least is next, 0 is none
}

// Handed returns the sum of the zones' parts.
func (a *Account) Handed() Amount {
	var sum Amount
	for _, z := range a.Zones {
		sum = sum.Add(z.Part)
	}
	return sum
}

// Accepted reports whether the parts handed out fit the limit. A lowered
// limit holds only once they do.
func (a *Account) Accepted() bool { return !a.over().Any() }

// Bound returns the limit.
func (a *Account) Bound() Bound { return Bound{Most: a.Limit, Dims: a.dims()} }

// dims returns the resources that are limited.
func (a *Account) dims() Dims {
	if a.Dims == 0 {
		return DimsOf(Tasks)
	}
	return a.Dims
}

// over returns by how much the parts handed out exceed the limit of each
// resource; it is negative where they are below it, and 0 without a limit.
func (a *Account) over() Amount { return a.dims().only(a.Handed().Sub(a.Limit)) }

// exceeded returns the resources of which more is handed out than the limit.
func (a *Account) exceeded() Dims {
	var d Dims
	for i, n := range a.over() {
		if n > 0 {
			d |= DimsOf(i)
		}
	}
	return d
}

// zone returns a zone, made if need be.
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

// knows reports whether a holder has an entry, or had one.
func (z *Zone) knows(holder string) bool {
	return z.Holders[holder] != nil || slices.Contains(z.Gone, holder)
}

// bury takes a holder out and starts a round.
func (z *Zone) bury(holder string) {
	delete(z.Holders, holder)
	z.Round++
	z.Gone = append(z.Gone, holder)
	z.Gone = z.Gone[max(len(z.Gone)-maxGone, 0):]
}

// slack returns what the zone's holders don't hold, negative if more runs
// than the zone's part; ok is false while a holder hasn't recorded itself in
// this round.
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

// pull raises a zone's part of resource i by up to n, out of what no zone has
// and out of what other zones neither hold nor keep standing, and returns by
// how much. If all is true, nothing is kept standing.
func (a *Account) pull(z *Zone, i int, n int64, all bool) int64 {
	left := -a.over()[i]
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
		if all {
			keep = 0
		}
		k := max(min(n-got, free[i], other.Part[i]-keep), 0)
		other.Part[i] -= k
		z.Part[i] += k
		got += k
	}
	return got
}

// shrink lowers a zone's part by what is free in it, while the parts exceed
// the limit.
func (a *Account) shrink(z *Zone) {
	if free, ok := z.slack(); ok {
		z.Part = z.Part.Sub(free.least(a.over()).most(Amount{}))
	}
}
