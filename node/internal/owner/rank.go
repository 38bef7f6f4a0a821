package owner

import (
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/balsamford/balsamford/node/internal/board"
)

// rank returns this host's position among the candidates for taking over from the owner
// of row. The row's successors come first, in order, then all other hosts.
func (o *Owner) rank(row board.Owner) int {
	if i := slices.Index(row.Successors, o.host); i >= 0 {
		return i
	}
	return len(row.Successors) + o.powerRank(row.Epoch)
}

// powerRank returns this host's position among all hosts. Hosts with more processor time
// come first, since the owner does the most work. The order among equals differs from
// epoch to epoch.
func (o *Owner) powerRank(epoch int64) int {
	hosts := o.board.Hosts()
	var self board.Host
	for _, h := range hosts {
		if h.Name == o.host {
			self = h
		}
	}
	rank := 0
	for _, h := range hosts {
		if h.Name != o.host && ranksBefore(h, self, o.host, epoch) {
			rank++
		}
	}
	return rank
}

// ranksBefore reports whether host h takes over before the host named name, whose row is
// self.
func ranksBefore(h, self board.Host, name string, epoch int64) bool {
	if h.Power != self.Power {
		return h.Power > self.Power
	}
	return tieBreak(h.Name, epoch) < tieBreak(name, epoch)
}

func tieBreak(host string, epoch int64) uint64 {
	return xxhash.Sum64String(host + "/" + strconv.FormatInt(epoch, 10))
}
