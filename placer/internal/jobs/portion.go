package jobs

import (
	"cmp"
	"slices"
)

// portion is the part of a gang that is to run at one placer's endpoints.
type portion struct {
	placer  string
	room    int // how many of the tasks its endpoints could run
	numbers []int
	kept    []booked
}

// split shares a gang's tasks out over placers by how many each could run. It
// returns nil if all together can't run them.
func split(numbers []int, rooms []portion) []portion {
	left := 0
	for _, p := range rooms {
		left += p.room
	}
	if left < len(numbers) {
		return nil
	}
	out := make([]portion, 0, len(rooms))
	rooms = slices.Clone(rooms)
	slices.SortFunc(rooms, func(a, b portion) int { return cmp.Compare(a.placer, b.placer) })
	for _, p := range rooms {
		n := 0
		if left > 0 {
			n = min((len(numbers)*p.room+left-1)/left, p.room, len(numbers))
		}
		left -= p.room
		if n > 0 {
			out = append(out, portion{placer: p.placer, room: p.room, numbers: numbers[:n]})
			numbers = numbers[n:]
		}
	}
	return out
}
