package alloc

import (
	"slices"
	"strconv"

	"github.com/balsamford/balsamford/coord/wire"
)

// FirstFit returns the first open endpoint that has room for needs and isn't
// listed in avoid, or nil if there is none.
func (t *Table) FirstFit(needs wire.Needs, avoid []string) *Row {
	for _, r := range t.rows {
		if r.Open() && needs.Fits(r.free) && !slices.Contains(avoid, r.name) {
			return r
		}
	}
	return nil
}

// MaxTasks returns how many tasks with these needs would fit on all endpoints
// together if they were idle, but at most most.
func (t *Table) MaxTasks(needs wire.Needs, most int) int {
	n := 0
	for _, r := range t.rows {
		n += copies(needs, r.capacity, most-n)
		if n >= most {
			return most
		}
	}
	return n
}

// copies returns how many tasks with these needs fit into room, but at most
// most.
func copies(needs, room wire.Needs, most int) int {
	n := int64(most)
	n = copiesOf(needs.CPU, room.CPU, n)
	n = copiesOf(needs.Mem, room.Mem, n)
	n = copiesOf(needs.Accel, room.Accel, n)
	n = copiesOf(needs.Slots, room.Slots, n)
	n = copiesOf(needs.Conns, room.Conns, n)
	return int(n)
}

// copiesOf is copies for one resource.
func copiesOf(need, room, most int64) int64 {
	if need <= 0 {
		return most
	}
	if room <= 0 {
		return 0
	}
	return min(room/need, most)
}

// InsufficientResource returns a message that names the first resource of which
// every endpoint has less capacity than needs.
func (t *Table) InsufficientResource(needs wire.Needs) string {
	var most wire.Needs
	for _, r := range t.rows {
		most = most.Max(r.capacity)
	}
	switch {
	case needs.CPU > most.CPU:
		return exceeds("cpu", needs.CPU, most.CPU)
	case needs.Mem > most.Mem:
		return exceeds("mem", needs.Mem, most.Mem)
	case needs.Accel > most.Accel:
		return exceeds("accel", needs.Accel, most.Accel)
	case needs.Slots > most.Slots:
		return exceeds("slots", needs.Slots, most.Slots)
	case needs.Conns > most.Conns:
		return exceeds("conns", needs.Conns, most.Conns)
	}
	return "no endpoint has all resources together"
}

// exceeds returns the message for one resource.
func exceeds(resource string, need, most int64) string {
	return resource + " " + strconv.FormatInt(need, 10) + " exceeds the largest endpoint's " + strconv.FormatInt(most, 10)
}
