package owner

import (
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/balsamford/balsamford/node/internal/board"
)

// rank returns this host's place among the hosts that could take over from the
// owner of a row: first its successors, in its order, then all others.
func (o *Owner) rank(row board.Owner) int {
	if i := slices.Index(row.Successors, o.host); i >= 0 {
		return i
	}
	return len(row.Successors) + o.place(row.Epoch)
}

// place returns this host's place among all hosts. Those with more processor time
// come first, since the owner does the most work; the order of like ones differs
// from epoch to epoch.
func (o *Owner) place(epoch int64) int {
	hosts := o.board.Hosts()
	var self board.Host
	for _, h := range hosts {
		if h.Name == o.host {
			self = h
		}
	}
	rank := 0
	for _, h := range hosts {
		if h.Name != o.host && goesBefore(h, self, o.host, epoch) {
			rank++
		}
	}
	return rank
}

// goesBefore reports whether host h takes over before the host named name, whose
// row is self.
func goesBefore(h, self board.Host, name string, epoch int64) bool {
	if h.Power != self.Power {
		return h.Power > self.Power
	}
	return weight(h.Name, epoch) < weight(name, epoch)
}

func weight(host string, epoch int64) uint64 {
	return xxhash.Sum64String(host + "/" + strconv.FormatInt(epoch, 10))
}
