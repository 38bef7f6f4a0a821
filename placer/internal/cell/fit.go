package cell

import (
	"slices"
	"strconv"

	"github.com/balsamford/balsamford/coord/wire"
)

// FirstFit returns the first open endpoint with room for needs that isn't in
// avoid, or nil.
func (t *Table) FirstFit(needs wire.Needs, avoid []string) *Row {
	for _, r := range t.rows {
		if r.Open() && needs.Fits(r.free) && !slices.Contains(avoid, r.name) {
			return r
		}
	}
	return nil
}

// Slots returns how many tasks of these needs the declared capacities could
// hold, counted up to most.
func (t *Table) Slots(needs wire.Needs, most int) int {
	n := 0
	for _, r := range t.rows {
		n += copies(needs, r.capacity, most-n)
		if n >= most {
			return most
		}
	}
	return n
}

// copies returns how many times needs goes into room, at most most.
func copies(needs, room wire.Needs, most int) int {
	n := int64(most)
	n = copiesOf(needs.CPU, room.CPU, n)
	n = copiesOf(needs.Mem, room.Mem, n)
	n = copiesOf(needs.Accel, room.Accel, n)
	n = copiesOf(needs.Slots, room.Slots, n)
	n = copiesOf(needs.Conns, room.Conns, n)
	return int(n)
}

func copiesOf(need, room, most int64) int64 {
	if need <= 0 {
		return most
	}
	if room <= 0 {
		return 0
	}
	return min(room/need, most)
}

// Lack says which resource of needs no endpoint declares enough of.
func (t *Table) Lack(needs wire.Needs) string {
	var most wire.Needs
	for _, r := range t.rows {
		most = most.Max(r.capacity)
	}
	switch {
	case needs.CPU > most.CPU:
		return lack("cpu", needs.CPU, most.CPU)
	case needs.Mem > most.Mem:
		return lack("mem", needs.Mem, most.Mem)
	case needs.Accel > most.Accel:
		return lack("accel", needs.Accel, most.Accel)
	case needs.Slots > most.Slots:
		return lack("slots", needs.Slots, most.Slots)
	case needs.Conns > most.Conns:
		return lack("conns", needs.Conns, most.Conns)
	}
	return "no endpoint has all resources together"
}

func lack(resource string, need, most int64) string {
	return resource + " " + strconv.FormatInt(need, 10) + " exceeds the largest endpoint's " + strconv.FormatInt(most, 10)
}
