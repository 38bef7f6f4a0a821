package owner

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// rank returns this host's place among the hosts that could take over after
// epoch. It differs from epoch to epoch.
func (o *Owner) rank(epoch int64) int {
	mine := weight(o.host, epoch)
	rank := 0
	for _, h := range o.board.Hosts() {
		if h.Name != o.host && weight(h.Name, epoch) < mine {
			rank++
		}
	}
	return rank
}

func weight(host string, epoch int64) uint64 {
	return xxhash.Sum64String(host + "/" + strconv.FormatInt(epoch, 10))
}
