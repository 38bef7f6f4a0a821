package plan

import (
	"time"

	"github.com/balsamford/balsamford/coord/model"
)

// team is what an organisation has running.
type team struct {
	used       model.Amount // needs of all runs that may be present
	urgentCPU  int64        // CPU of these that urgent work takes
	urgentPeak int64        // CPU that urgent work had or wanted to have when peaked
	peakedAt   time.Time
	tokens     float64   // jobs that it may submit within its share
	refilledAt time.Time // when tokens were last added
}

// headroom returns how many tasks of the given need fit under limit, at most n.
func (t *team) headroom(need, limit model.Amount, n int) int {
	for _, r := range [...]struct{ used, need, limit int64 }{
		{t.used.CPU, need.CPU, limit.CPU}, {t.used.Memory, need.Memory, limit.Memory}, {t.used.Accel, need.Accel, limit.Accel},
	} {
		if r.limit > 0 && r.need > 0 {
			n = min(n, int(max(0, r.limit-r.used)/r.need))
		}
	}
	return n
}
